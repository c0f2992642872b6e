package claim

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/core"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	// BadKey means that the key is neither a UUID of version 7 nor a valid issued key.
	BadKey Kind = iota
	// Expired means that the key is older than the retention of claims, so that a used
	// key cannot be distinguished from an unused one.
	Expired
	// Unavailable means that the claim was not made and will not be made.
	Unavailable
	// Unconfirmed means that the claim may have been written; the call was not run.
	Unconfirmed
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"malformed key", "expired key", "claim unavailable", "claim undecided"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Key is an idempotency key.
type Key struct {
	Text      string
	CreatedAt time.Time
	// Issued is set on a key that a host issued. Host and Incarnation identify the
	// process that issued it.
	Issued      bool
	Host        string
	Incarnation int64
}

const (
	issuedPrefix = "sq1"
	issuedFields = 6
	base         = 36
	uuidLength   = 36
	uuidVersion  = '7'
	maxClockSkew = 5 * time.Minute // of the caller's clock, ahead of the host's
)

// Issue returns a signed key that only the given process can use to run a call.
func Issue(signer *seal.Signer, now time.Time, host string, incarnation int64) string {
	body := strings.Join([]string{
		issuedPrefix, hex.EncodeToString([]byte(host)), strconv.FormatInt(incarnation, base),
		strconv.FormatInt(now.UnixMilli(), base), core.NewID(),
	}, ".")
	return body + "." + signer.Sign([]byte(body))
}

// Parse decodes a key, verifies the signature of an issued key, and checks its age against
// the retention of claims. Its errors are of kind BadKey or Expired.
func Parse(signer *seal.Signer, text string, now time.Time, retention time.Duration) (Key, error) {
	const op = "parse key"
	key, err := parse(signer, text)
	if err != nil {
		return Key{}, failure.Wrap(op, BadKey, err)
	}
	if key.CreatedAt.After(now.Add(maxClockSkew)) {
		return Key{}, failure.Wrap(op, BadKey, errors.New("expected a key that was made in the past"))
	}
	if now.Sub(key.CreatedAt) > retention {
		return Key{}, failure.Wrap(op, Expired, errors.Errorf("expected a key younger than %s", retention))
	}
	return key, nil
}

func parse(signer *seal.Signer, text string) (Key, error) {
	if strings.HasPrefix(text, issuedPrefix+".") {
		return parseIssued(signer, text)
	}
	return parseUUID(text)
}

func parseIssued(signer *seal.Signer, text string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(parts) != issuedFields {
		return Key{}, errors.New("expected a key as it was issued")
	}
	body := text[:strings.LastIndexByte(text, '.')]
	if !signer.Verify(parts[issuedFields-1], []byte(body)) {
		return Key{}, errors.New("expected a key that a host of the fleet issued")
	}
	host, err := hex.DecodeString(parts[1])
	if err != nil {
		return Key{}, errors.New("expected a host in the key")
	}
	incarnation, err := strconv.ParseInt(parts[2], base, 64)
	if err != nil {
		return Key{}, errors.New("expected an incarnation in the key")
	}
	ms, err := strconv.ParseInt(parts[3], base, 64)
	if err != nil {
		return Key{}, errors.New("expected a time in the key")
	}
	return Key{Text: text, CreatedAt: time.UnixMilli(ms), Issued: true, Host: string(host), Incarnation: incarnation}, nil
}

func parseUUID(text string) (Key, error) {
	errFormat := errors.New("expected a UUID of version 7 or an issued key")
	if len(text) != uuidLength || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' || text[14] != uuidVersion {
		return Key{}, errFormat
	}
	digits := strings.ReplaceAll(text, "-", "")
	raw, err := hex.DecodeString(digits)
	const uuidBytes = 16
	if err != nil || len(raw) != uuidBytes {
		return Key{}, errFormat
	}
	const timeDigits = 12 // the first 48 bits are Unix milliseconds
	ms, err := strconv.ParseInt(digits[:timeDigits], 16, 64)
	if err != nil {
		return Key{}, errFormat
	}
	return Key{Text: strings.ToLower(text), CreatedAt: time.UnixMilli(ms)}, nil
}
