package member

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
)

// Status tells whether a host is in use.
type Status int

// The statuses, in the order in which one overrides another of the same
// incarnation and refutation.
const (
	Alive Status = iota
	Suspect
	Gone
)

const statuses = 4 // stamps reserved for the statuses of one refutation

// String returns the status's name.
func (s Status) String() string { return [...]string{"Alive", "Suspect", "Gone"}[s] }

// MarshalText writes the status's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the status's name.
func (s *Status) UnmarshalText(text []byte) error {
	for _, known := range []Status{Alive, Suspect, Gone} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return errors.Errorf("unknown status %q", text)
}

// Info is what the fleet knows of a host.
type Info struct {
	Host          string `json:"Host"`
	Region        string `json:"Region"`
	DataCentre    string `json:"DataCentre"`
	CallerAddress string `json:"CallerAddress"`
	PeerAddress   string `json:"PeerAddress"`
	// Incarnation is the start of the process in milliseconds since 1970; a
	// restart makes it rise.
	Incarnation int64 `json:"Incarnation"`
	// Refutation counts how often the host contradicted a suspicion or changed
	// what it says of itself.
	Refutation int64  `json:"Refutation"`
	Status     Status `json:"Status"`
	// Leaving is set by the host itself and stays for its incarnation.
	Leaving bool `json:"Leaving,omitempty"`
}

// refutationsPerMs is the room for refutations within an incarnation's stamp.
const refutationsPerMs = 1000

// Stamp orders what is said of one host.
func (i Info) Stamp() int64 {
	return i.Incarnation*refutationsPerMs + i.Refutation*statuses + int64(i.Status)
}

// InUse reports whether new calls may go to the host.
func (i Info) InUse() bool { return i.Status == Alive && !i.Leaving }

// WithStatus returns a copy with another status.
func (i Info) WithStatus(s Status) Info {
	i.Status = s
	return i
}

// WithRefutation returns a copy that overrides all that was said before.
func (i Info) WithRefutation() Info {
	i.Refutation++
	i.Status = Alive
	return i
}

// WithLeaving returns a copy that says that the host is about to stop.
func (i Info) WithLeaving() Info {
	i = i.WithRefutation()
	i.Leaving = true
	return i
}

// KeyPrefix starts the bulletin keys of hosts.
const KeyPrefix = "member/"

// Item returns the bulletin item for a host.
func (i Info) Item() bulletin.Item {
	value, err := json.Marshal(i)
	if err != nil {
		panic(errors.Wrap(err, "member: Info always encodes"))
	}
	return bulletin.Item{Key: KeyPrefix + i.Host, Stamp: i.Stamp(), Scope: bulletin.Fleet, Value: value}
}

// FromItem reads the bulletin item of a host. It refuses one whose stamp or
// key does not follow from its value.
func FromItem(item bulletin.Item) (Info, error) {
	var info Info
	if err := json.Unmarshal(item.Value, &info); err != nil {
		return Info{}, errors.Wrap(err, "member item")
	}
	if item.Key != KeyPrefix+info.Host || item.Stamp != info.Stamp() {
		return Info{}, errors.Errorf("member item %q: key or stamp does not match the value", item.Key)
	}
	return info, nil
}

// IsItem reports whether the item is about a host.
func IsItem(item bulletin.Item) bool { return strings.HasPrefix(item.Key, KeyPrefix) }
