package permission

import "time"

// LocationWitness is what shows that a target is at its address. Entries of the store are none: that of a target that
// has crashed stays for longer than its address stays free.
type LocationWitness int

// The witnesses, from the weakest one.
const (
	// Unseen means that nothing shows it.
	Unseen LocationWitness = iota
	// Answered means that the target has answered this host at the address.
	Answered
	// Connected means that the target has answered on the very connection, which ends with its process.
	Connected
)

// String returns the witness's name.
func (w LocationWitness) String() string { return [...]string{"Unseen", "Answered", "Connected"}[w] }

// Location is what a host knows of whether a target is at its address.
type Location struct {
	Witness LocationWitness
	// Age is the time since the request was sent that the target answered. It means nothing unless Witness is Answered.
	Age time.Duration
}

// Admits reports whether a body that must not leave its homes may be sent on a connection that is open. An address stays
// free for the reuse time after its target has ended, so a connection was opened to the target or to nobody if the
// target answered less than that ago.
func (l Location) Admits(homes Homes, reuse time.Duration) bool {
	switch {
	case !homes.Restricted(), l.Witness == Connected:
		return true
	default:
		return l.Witness == Answered && l.Age < reuse
	}
}
