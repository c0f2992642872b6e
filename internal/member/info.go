package member

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
)

// Status is the membership status of a host.
type Status int

// The statuses, in the order in which one overrides another of the same
// incarnation and refutation.
const (
	Alive Status = iota
	Suspect
	Gone
)

const stampsPerRefutation = 4 // stamps reserved for the statuses of one refutation

// String returns the status's name.
func (s Status) String() string { return [...]string{"Alive", "Suspect", "Gone"}[s] }

// MarshalText encodes the status as its name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the status from its name.
func (s *Status) UnmarshalText(text []byte) error {
	for _, known := range []Status{Alive, Suspect, Gone} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return errors.Errorf("unknown status %q", text)
}

// Info is the membership record of a host.
type Info struct {
	Host          string `json:"Host"`
	Region        string `json:"Region"`
	DataCentre    string `json:"DataCentre"`
	CallerAddress string `json:"CallerAddress"`
	PeerAddress   string `json:"PeerAddress"`
	// Incarnation is the start time of the process in Unix milliseconds. It increases with
	// each restart.
	Incarnation int64 `json:"Incarnation"`
	// Refutation counts how often the host refuted a suspicion or changed its own record.
	Refutation int64  `json:"Refutation"`
	Status     Status `json:"Status"`
	// Leaving is set by the host itself and stays set for its incarnation.
	Leaving bool `json:"Leaving,omitempty"`
	// Protocol is what the host's build understands of messages between hosts.
	Protocol int `json:"Protocol,omitempty"`
	// LinkMbps is the rate of the link of the host's machine each way, 0 if it is not known.
	LinkMbps float64 `json:"LinkMbps,omitempty"`
}

// ProtocolVersions is the Protocol from which on hosts check the health of targets in doubt and
// resume streams only at the software version that they are told.
const ProtocolVersions = 1

// ProtocolWorkspaces is the Protocol from which on hosts know the workspaces of calls, and take a forwarded call
// that names the key of its caller by a digest.
const ProtocolWorkspaces = 2

// ProtocolUpdateFrames is the Protocol from which on hosts take store updates as frames, whose values are encoded by
// their differences from earlier ones.
const ProtocolUpdateFrames = 3

// stampsPerMs is the number of stamps reserved for the refutations of each millisecond of
// incarnation.
const stampsPerMs = 1000

// Stamp orders the records of one host: a higher stamp overrides a lower one.
func (i Info) Stamp() int64 {
	return i.Incarnation*stampsPerMs + i.Refutation*stampsPerRefutation + int64(i.Status)
}

// InUse reports whether new calls may go to the host.
func (i Info) InUse() bool { return i.Status == Alive && !i.Leaving }

// WithStatus returns a copy with another status.
func (i Info) WithStatus(s Status) Info {
	i.Status = s
	return i
}

// WithRefutation returns a copy with status Alive that overrides all earlier records of the
// incarnation.
func (i Info) WithRefutation() Info {
	i.Refutation++
	i.Status = Alive
	return i
}

// WithLeaving returns a copy that announces that the host is about to stop.
func (i Info) WithLeaving() Info {
	i = i.WithRefutation()
	i.Leaving = true
	return i
}

// KeyPrefix is the prefix of the keys of membership items.
const KeyPrefix = "member/"

// Item returns the bulletin item that carries the record.
func (i Info) Item() bulletin.Item {
	value, err := json.Marshal(i)
	if err != nil {
		panic(errors.Wrap(err, "member: encode Info"))
	}
	return bulletin.Item{Key: KeyPrefix + i.Host, Stamp: i.Stamp(), Scope: bulletin.Fleet, Value: value}
}

// FromItem decodes the bulletin item of a host. It returns an error if the key or the stamp
// does not match the value.
func FromItem(item bulletin.Item) (Info, error) {
	var info Info
	if err := json.Unmarshal(item.Value, &info); err != nil {
		return Info{}, errors.Wrap(err, "decode member item")
	}
	if item.Key != KeyPrefix+info.Host || item.Stamp != info.Stamp() {
		return Info{}, errors.Errorf("member item %q: key or stamp does not match the value", item.Key)
	}
	return info, nil
}

// IsItem reports whether the item carries the record of a host.
func IsItem(item bulletin.Item) bool { return strings.HasPrefix(item.Key, KeyPrefix) }
