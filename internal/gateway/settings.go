package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/settings"
)

// Settings are the settings that a gateway needs to start. All else is in the store.
type Settings struct {
	// Host is the host's own name, unique in the fleet.
	Host       string `json:"Host"`
	Region     string `json:"Region"`
	DataCentre string `json:"DataCentre"`
	// DataCentres gives the region of every data centre.
	DataCentres map[string]string `json:"DataCentres"`
	// CallerAddress is where callers connect, as IP:port.
	CallerAddress string `json:"CallerAddress"`
	// ReadinessAddress serves the readiness check.
	ReadinessAddress string `json:"ReadinessAddress"`
	// DirectoryAddress serves the directory of hosts for callers.
	DirectoryAddress string `json:"DirectoryAddress"`
	// PeerAddress is where other hosts connect, over TCP and UDP.
	PeerAddress string `json:"PeerAddress"`
	// SharePort is the UDP port for load reports between hosts, the same at all hosts.
	SharePort int `json:"SharePort"`
	// MetricsAddress serves metrics and the state dump.
	MetricsAddress string `json:"MetricsAddress"`
	// StoreAddress is the platform's store.
	StoreAddress string `json:"StoreAddress"`
	// Seeds are the peer addresses of hosts to join through.
	Seeds []string `json:"Seeds"`
	// FleetKeys authenticate the hosts to each other. The first one signs messages;
	// signatures by any of them are accepted.
	FleetKeys []string `json:"FleetKeys"`
	// DrainSeconds bounds a graceful stop.
	DrainSeconds float64 `json:"DrainSeconds"`
	// RetryRatio times the calls plus RetrySlack bounds the retries of all hosts for a
	// service, in any period of RetryWindowSeconds.
	RetryRatio         float64 `json:"RetryRatio"`
	RetrySlack         float64 `json:"RetrySlack"`
	RetryWindowSeconds float64 `json:"RetryWindowSeconds"`
	// DirectoryTTLSeconds is how long callers may cache a response of the directory.
	DirectoryTTLSeconds float64 `json:"DirectoryTTLSeconds"`
	// RevocationMs is how long a key may work once the store has accepted its withdrawal, also at hosts that are
	// out of touch. A host that cannot prove for that time that its configuration is the newest one refuses calls with
	// a key. 0 means that hosts go by the newest configuration that they have.
	RevocationMs float64 `json:"RevocationMs,omitempty"`
	// QuotaOverage is the part by which the calls of a workspace may exceed its quota in any period of
	// QuotaWindowSeconds. Hosts use a fifth of it for a larger burst, so that calls within the quota are not refused while
	// tokens are on their way between hosts.
	QuotaOverage       float64 `json:"QuotaOverage,omitempty"`
	QuotaWindowSeconds float64 `json:"QuotaWindowSeconds,omitempty"`
	// ReuseSeconds is how long the address of a target that has ended belongs to nobody. 0 means 2 s.
	ReuseSeconds float64 `json:"ReuseSeconds,omitempty"`
	// Policy has the weights of the routing decisions. Missing fields have their defaults.
	Policy balance.Policy `json:"Policy"`
	// MaxDescriptors bounds the file descriptors of the process, beside the limit of the operating
	// system. 0 means no other bound.
	MaxDescriptors int `json:"MaxDescriptors,omitempty"`
	// MemoryMB is the memory of the host's machine, in millions of bytes. 0 means that it is not known.
	MemoryMB float64 `json:"MemoryMB,omitempty"`
	// LinkMbps is the rate of the link of the host's machine each way, in Mbit/s. 0 means that it is not known, and that
	// messages to other hosts are not paced.
	LinkMbps float64 `json:"LinkMbps,omitempty"`
	// LogLevel is 0 for the usual messages and 1 for more.
	LogLevel int `json:"LogLevel,omitempty"`
}

// drainTime returns the bound of a graceful stop.
func (s Settings) drainTime() time.Duration {
	return time.Duration(s.DrainSeconds * float64(time.Second))
}

// reuseTime returns how long the address of a target that has ended belongs to nobody.
func (s Settings) reuseTime() time.Duration {
	if s.ReuseSeconds == 0 {
		return defaultReuseTime
	}
	return time.Duration(s.ReuseSeconds * float64(time.Second))
}

func (s Settings) directoryTTL() time.Duration {
	return time.Duration(s.DirectoryTTLSeconds * float64(time.Second))
}

// LoadSettings reads and checks a settings file, after the changes that override it. Its error lists every wrong setting.
// Unknown fields are ignored, so that a file may have settings of a later version.
func LoadSettings(path string, changes ...func(*Settings)) (Settings, error) {
	const op = "load settings"
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, failure.Wrap(op, settings.Unreadable, err)
	}
	s := Settings{Policy: balance.DefaultPolicy()}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&s); err != nil {
		return Settings{}, failure.Wrap(op, settings.Malformed, err)
	}
	for _, change := range changes {
		change(&s)
	}
	if problems := s.Check(); len(problems) > 0 {
		return Settings{}, failure.Wrap(op, settings.Invalid, problems)
	}
	return s, nil
}

// Check returns a problem for every wrong setting.
func (s Settings) Check() settings.Problems {
	var problems settings.Problems
	require := problems.Require
	address := func(name, value string) {
		host, _, err := net.SplitHostPort(value)
		require(err == nil && net.ParseIP(host) != nil, name, "expected IP:port, got %q", value)
	}
	require(s.Host != "", "Host", "expected a name")
	require(s.Region != "", "Region", "expected a name")
	require(s.DataCentres[s.DataCentre] == s.Region, "DataCentres", "expected data centre %q in region %q", s.DataCentre, s.Region)
	address("CallerAddress", s.CallerAddress)
	address("ReadinessAddress", s.ReadinessAddress)
	address("DirectoryAddress", s.DirectoryAddress)
	address("PeerAddress", s.PeerAddress)
	address("MetricsAddress", s.MetricsAddress)
	address("StoreAddress", s.StoreAddress)
	for i, seed := range s.Seeds {
		address(fmt.Sprintf("Seeds[%d]", i), seed)
	}
	require(s.SharePort > 0 && s.SharePort < 1<<16, "SharePort", "expected a port, got %d", s.SharePort)
	require(len(s.FleetKeys) > 0, "FleetKeys", "expected at least one key")
	require(s.DrainSeconds > 0, "DrainSeconds", "expected positive seconds, got %g", s.DrainSeconds)
	require(s.RetryRatio >= 0 && s.RetrySlack >= 0, "RetryRatio", "expected no negative figures")
	require(s.RetryWindowSeconds > 0, "RetryWindowSeconds", "expected positive seconds, got %g", s.RetryWindowSeconds)
	require(s.DirectoryTTLSeconds > 0, "DirectoryTTLSeconds", "expected positive seconds, got %g", s.DirectoryTTLSeconds)
	require(s.RevocationMs == 0 || s.RevocationMs >= minRevocationMs, "RevocationMs", "expected 0 or at least %d, got %g", minRevocationMs, s.RevocationMs)
	require(s.QuotaOverage >= 0 && s.QuotaOverage <= 1, "QuotaOverage", "expected a number from 0 to 1, got %g", s.QuotaOverage)
	require(s.QuotaWindowSeconds >= 0, "QuotaWindowSeconds", "expected no negative number, got %g", s.QuotaWindowSeconds)
	require(s.ReuseSeconds == 0 || s.ReuseSeconds >= minReuseSeconds, "ReuseSeconds", "expected 0 or at least %g, got %g", minReuseSeconds, s.ReuseSeconds)
	require(s.MaxDescriptors == 0 || s.MaxDescriptors >= minDescriptors, "MaxDescriptors", "expected 0 or at least %d, got %d", minDescriptors, s.MaxDescriptors)
	require(s.MemoryMB == 0 || s.MemoryMB >= memory.MinMB, "MemoryMB", "expected 0 or at least %d, got %g", memory.MinMB, s.MemoryMB)
	require(s.LinkMbps >= 0, "LinkMbps", "expected no negative number, got %g", s.LinkMbps)
	require(s.LogLevel == 0 || s.LogLevel == 1, "LogLevel", "expected 0 or 1, got %d", s.LogLevel)
	return append(problems, s.Policy.Check("Policy")...)
}
