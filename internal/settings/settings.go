// Package settings reads the settings of a daemon from a JSON file, environment
// variables and flags. Environment variables override the file, and flags override
// both. All invalid settings are reported in one error.
package settings

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/memory"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	Unreadable Kind = iota
	Malformed
	Invalid
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string {
	return [...]string{"unreadable settings", "malformed settings", "wrong settings"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Settings holds what a daemon needs in order to start. Everything else is in the
// configuration, see package config.
type Settings struct {
	// Host is the name of this host, unique in the fleet.
	Host       string `json:"Host"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	// CallerAddress is the IP:port on which the host listens for callers and operators.
	CallerAddress string `json:"CallerAddress"`
	// PeerAddress is the IP:port on which the host listens for other hosts, TCP and UDP.
	PeerAddress string `json:"PeerAddress"`
	// StoreAddresses are the endpoints of the key-value service.
	StoreAddresses []string `json:"StoreAddresses"`
	// PlatformAddress is the IP:port of the host list and the client directory.
	PlatformAddress string `json:"PlatformAddress,omitempty"`
	// Seeds are the peer addresses of the hosts through which to join the fleet.
	Seeds []string `json:"Seeds,omitempty"`
	// FleetKeys authenticate the messages between hosts. The first key seals messages;
	// all keys are accepted, so that a key can be rotated.
	FleetKeys []string `json:"FleetKeys"`
	// ClaimSecret is the key of the digests under which idempotency keys and requests are
	// stored. It must be the same on all hosts and must not change while claims are
	// stored.
	ClaimSecret string `json:"ClaimSecret"`
	// BootstrapOperatorDigest is the SHA-256 digest of a secret that is accepted from an
	// operator while the configuration has no operator key.
	BootstrapOperatorDigest string `json:"BootstrapOperatorDigest,omitempty"`
	// DrainSeconds is the longest duration of a graceful shutdown.
	DrainSeconds int `json:"DrainSeconds"`
	// MemoryMB is the memory of the machine in millions of bytes, 0 if it is not known.
	MemoryMB int `json:"MemoryMB,omitempty"`
	// LogLevel is the verbosity of the log: 0 for normal messages, 1 for details too.
	LogLevel int `json:"LogLevel,omitempty"`
}

// Default returns the settings with the defaults of optional fields.
func Default() Settings { return Settings{DrainSeconds: 600} }

// LocalIP returns the IP of PeerAddress, the source address of outgoing connections, or
// the empty string if PeerAddress is invalid.
func (s Settings) LocalIP() string {
	host, _, err := net.SplitHostPort(s.PeerAddress)
	if err != nil {
		return ""
	}
	return host
}

// Problems lists all invalid settings.
type Problems = failure.Problems

// field connects a setting with its flag.
type field struct {
	name  string
	flag  string
	usage string
	set   func(s *Settings, value string) error
}

func text(pointer func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*pointer(s) = value
		return nil
	}
}

func list(pointer func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		*pointer(s) = strings.Split(value, ",")
		return nil
	}
}

func number(pointer func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if err := json.Unmarshal([]byte(value), pointer(s)); err != nil {
			return errors.Errorf("expected a whole number, got %q", value)
		}
		return nil
	}
}

var fields = []field{
	{"Host", "host", "name of this host", text(func(s *Settings) *string { return &s.Host })},
	{"Region", "region", "region of this host", text(func(s *Settings) *string { return &s.Region })},
	{"DataCentre", "data-centre", "data centre of this host", text(func(s *Settings) *string { return &s.DataCentre })},
	{"CallerAddress", "caller-address", "IP:port for callers and operators", text(func(s *Settings) *string { return &s.CallerAddress })},
	{"PeerAddress", "peer-address", "IP:port for other hosts, TCP and UDP", text(func(s *Settings) *string { return &s.PeerAddress })},
	{"StoreAddresses", "store-addresses", "endpoints of the key-value service, joined by commas", list(func(s *Settings) *[]string { return &s.StoreAddresses })},
	{"PlatformAddress", "platform-address", "IP:port of the host list and the client directory", text(func(s *Settings) *string { return &s.PlatformAddress })},
	{"Seeds", "seeds", "peer addresses to join through, joined by commas", list(func(s *Settings) *[]string { return &s.Seeds })},
	{"FleetKeys", "fleet-keys", "keys shared by the hosts, joined by commas", list(func(s *Settings) *[]string { return &s.FleetKeys })},
	{"ClaimSecret", "claim-secret", "secret that keys the digests of requests", text(func(s *Settings) *string { return &s.ClaimSecret })},
	{"BootstrapOperatorDigest", "bootstrap-operator-digest", "SHA-256 digest of the first operator's key", text(func(s *Settings) *string { return &s.BootstrapOperatorDigest })},
	{"DrainSeconds", "drain-seconds", "longest graceful shutdown, in seconds", number(func(s *Settings) *int { return &s.DrainSeconds })},
	{"MemoryMB", "memory-mb", "memory of the machine, in millions of bytes", number(func(s *Settings) *int { return &s.MemoryMB })},
	{"LogLevel", "log-level", "0 for the usual messages, 1 for more", number(func(s *Settings) *int { return &s.LogLevel })},
}

// Flags holds the settings that were given as flags or environment variables.
type Flags struct {
	set    *flag.FlagSet
	file   *string
	values map[string]*string
}

// EnvPrefix is the prefix of the environment variables of settings.
const EnvPrefix = "SEQUOIARACK"

// NewFlags defines a flag for each setting and one for the settings file.
func NewFlags(set *flag.FlagSet) *Flags {
	f := &Flags{set: set, values: map[string]*string{}}
	f.file = set.String("settings", "", "JSON file with settings")
	for _, item := range fields {
		f.values[item.flag] = set.String(item.flag, "", item.usage)
	}
	return f
}

// Options returns the options with which ff parses the flags.
func Options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)} }

// Load reads the settings file, applies the flags and checks the result. It fails with
// Unreadable or Malformed on the file, and with Invalid, caused by Problems, on invalid
// settings.
func (f *Flags) Load() (Settings, error) {
	const op = "load settings"
	settings := Default()
	if *f.file != "" {
		data, err := os.ReadFile(*f.file)
		if err != nil {
			return Settings{}, failure.Wrap(op, Unreadable, err)
		}
		if settings, err = Parse(data); err != nil {
			return Settings{}, err
		}
	}
	problems := f.override(&settings)
	problems = append(problems, Check(settings)...)
	if len(problems) > 0 {
		return Settings{}, failure.Wrap(op, Invalid, problems)
	}
	return settings, nil
}

// override applies the flags that were given to the settings.
func (f *Flags) override(settings *Settings) Problems {
	given := map[string]bool{}
	f.set.Visit(func(item *flag.Flag) { given[item.Name] = true })
	var problems Problems
	for _, item := range fields {
		if !given[item.flag] {
			continue
		}
		if err := item.set(settings, *f.values[item.flag]); err != nil {
			problems.Add(item.name, "%s", err)
		}
	}
	return problems
}

// Parse decodes the content of a settings file without checking the settings. It fails
// with Malformed, also on unknown fields.
func Parse(data []byte) (Settings, error) {
	const op = "parse settings"
	settings := Default()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, failure.Wrap(op, Malformed, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Settings{}, failure.Wrap(op, Malformed, errors.New("expected one JSON object and nothing after it"))
	}
	return settings, nil
}

var (
	nameRegexp   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	digestRegexp = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const minSecretBytes = 16

// Check returns all invalid settings, sorted by name.
func Check(s Settings) Problems {
	var problems Problems
	require := problems.Require
	const nameFormat = "expected a name of lower-case letters, digits, dots and dashes, got %q"
	require(nameRegexp.MatchString(s.Host), "Host", nameFormat, s.Host)
	require(nameRegexp.MatchString(s.Region), "Region", nameFormat, s.Region)
	require(nameRegexp.MatchString(s.DataCentre), "DataCentre", nameFormat, s.DataCentre)
	require(isAddress(s.CallerAddress), "CallerAddress", "expected IP:port, got %q", s.CallerAddress)
	require(isAddress(s.PeerAddress), "PeerAddress", "expected IP:port, got %q", s.PeerAddress)
	require(s.CallerAddress == "" || s.CallerAddress != s.PeerAddress, "PeerAddress", "expected another address than CallerAddress")
	require(len(s.StoreAddresses) > 0, "StoreAddresses", "expected at least one address")
	for i, address := range s.StoreAddresses {
		require(isAddress(address), fmt.Sprintf("StoreAddresses[%d]", i), "expected IP:port, got %q", address)
	}
	for i, address := range s.Seeds {
		require(isAddress(address), fmt.Sprintf("Seeds[%d]", i), "expected IP:port, got %q", address)
	}
	require(s.PlatformAddress == "" || isAddress(s.PlatformAddress), "PlatformAddress", "expected IP:port or nothing, got %q", s.PlatformAddress)
	require(len(s.FleetKeys) > 0, "FleetKeys", "expected at least one key")
	for i, key := range s.FleetKeys {
		require(len(key) >= minSecretBytes, fmt.Sprintf("FleetKeys[%d]", i), "expected at least %d characters", minSecretBytes)
	}
	require(len(s.ClaimSecret) >= minSecretBytes, "ClaimSecret", "expected at least %d characters", minSecretBytes)
	require(s.BootstrapOperatorDigest == "" || digestRegexp.MatchString(s.BootstrapOperatorDigest),
		"BootstrapOperatorDigest", "expected a SHA-256 digest in 64 hexadecimal digits")
	require(s.DrainSeconds > 0, "DrainSeconds", "expected positive seconds, got %d", s.DrainSeconds)
	require(s.MemoryMB == 0 || s.MemoryMB >= memory.MinMB, "MemoryMB", "expected 0 or at least %d, got %d", memory.MinMB, s.MemoryMB)
	require(s.LogLevel == 0 || s.LogLevel == 1, "LogLevel", "expected 0 or 1, got %d", s.LogLevel)
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Path < problems[j].Path })
	return problems
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
