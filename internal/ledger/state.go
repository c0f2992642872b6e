package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/config"
	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	// Conflict means that the patch is not based on the newest version.
	Conflict Kind = iota
	// Refused means that the patch, or the document that results from it, is invalid.
	Refused
	// IDReused means that the patch's ID belongs to another patch.
	IDReused
	// Unavailable means that the store could not be reached; nothing was changed.
	Unavailable
	// Unconfirmed means that the reply was lost; the patch may have been accepted.
	Unconfirmed
	// StoreBehind means that the store has an older version than this host has applied.
	StoreBehind
	// Diverged means that stored data is corrupt or that a record does not apply to the
	// state: its version is not the next one, or its digest differs.
	Diverged
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string {
	return [...]string{
		"version conflict", "patch refused", "patch ID reused", "store unavailable",
		"commit unconfirmed", "store went back", "record diverged",
	}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Patch is a change of the configuration, as an operator sends it.
type Patch struct {
	// Base is the version to which the patch applies.
	Base uint64 `json:"Base"`
	// ID identifies the patch, so that a resent patch is accepted only once.
	ID      string           `json:"ID"`
	Kind    config.PatchKind `json:"Kind"`
	Body    json.RawMessage  `json:"Body"`
	Comment string           `json:"Comment,omitempty"`
	Author  string           `json:"Author,omitempty"`
}

// Record is an accepted patch with its version.
type Record struct {
	Version uint64    `json:"Version"`
	At      time.Time `json:"At"`
	// Digest is the SHA-256 digest of the document that results from the patch.
	Digest string `json:"Digest"`
	Patch
}

// State is one version of the configuration. It is immutable.
type State struct {
	Version uint64
	ID      string
	Digest  string
	Raw     []byte // the document in canonical form
	Index   *config.Index
}

// Empty returns the state before the first patch.
func Empty() *State {
	raw := []byte("{}")
	return &State{Raw: raw, Digest: digest(raw), Index: config.Compile(0, config.Document{Limits: config.DefaultLimits()})}
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Propose returns the record and the state that would result from a patch, without
// storing them. It fails with Conflict or Refused.
func (s *State) Propose(patch Patch, at time.Time) (Record, *State, error) {
	const op = "propose"
	if patch.Base != s.Version {
		return Record{}, nil, failure.Wrap(op, Conflict, errors.Errorf("based on version %d, current is %d", patch.Base, s.Version))
	}
	next, err := s.applyPatch(patch)
	if err != nil {
		return Record{}, nil, failure.Wrap(op, Refused, err)
	}
	return Record{Version: next.Version, At: at, Digest: next.Digest, Patch: patch}, next, nil
}

// Apply returns the state that results from a record with the next version. It fails
// with Diverged.
func (s *State) Apply(r Record) (*State, error) {
	const op = "apply record"
	if r.Version != s.Version+1 {
		return nil, failure.Wrap(op, Diverged, errors.Errorf("version %d does not follow %d", r.Version, s.Version))
	}
	next, err := s.applyPatch(r.Patch)
	if err != nil {
		return nil, failure.Wrap(op, Diverged, err)
	}
	if next.Digest != r.Digest {
		return nil, failure.Wrap(op, Diverged, errors.Errorf("version %d makes another document", r.Version))
	}
	return next, nil
}

func (s *State) applyPatch(patch Patch) (*State, error) {
	raw, err := config.Apply(s.Raw, patch.Kind, patch.Body)
	if err != nil {
		return nil, err
	}
	return newState(s.Version+1, patch.ID, raw)
}

func newState(version uint64, id string, raw []byte) (*State, error) {
	document, err := config.Parse(raw)
	if err != nil {
		return nil, err
	}
	raw, err = config.Canonical(raw)
	if err != nil {
		return nil, err
	}
	return &State{Version: version, ID: id, Digest: digest(raw), Raw: raw, Index: config.Compile(version, document)}, nil
}

// Snapshot is the encoded form of a State, between hosts and in the store.
type Snapshot struct {
	Version  uint64          `json:"Version"`
	ID       string          `json:"ID"`
	Digest   string          `json:"Digest"`
	Document json.RawMessage `json:"Document"`
}

// Snapshot returns the state in its encoded form.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Version: s.Version, ID: s.ID, Digest: s.Digest, Document: s.Raw}
}

// State returns the state of a snapshot. It fails with Diverged if the document is
// invalid or does not match the digest.
func (s Snapshot) State() (*State, error) {
	const op = "read snapshot"
	if s.Version == 0 {
		return Empty(), nil
	}
	state, err := newState(s.Version, s.ID, s.Document)
	if err != nil {
		return nil, failure.Wrap(op, Diverged, err)
	}
	if state.Digest != s.Digest {
		return nil, failure.Wrap(op, Diverged, errors.New("digest does not match the document"))
	}
	return state, nil
}
