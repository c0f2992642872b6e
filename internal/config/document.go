package config

// Document is the whole configuration. Its maps are keyed by name, so that a
// merge patch can change one entry. A Document is immutable once compiled.
type Document struct {
	Regions     map[string]Region    `json:"Regions"`
	Services    map[string]Service   `json:"Services"`
	Targets     map[string]Target    `json:"Targets"`
	Workspaces  map[string]Workspace `json:"Workspaces"`
	DataClasses map[string]DataClass `json:"DataClasses,omitempty"`
	Keys        map[string]Key       `json:"Keys"`
	Links       map[string]Link      `json:"Links,omitempty"`
	Limits      Limits               `json:"Limits"`
}

// Region is a set of data centres whose links are fast.
type Region struct {
	DataCentres []string `json:"DataCentres"`
}

// Link describes the wide-area link between two regions. Its key is the two
// names in alphabetical order, joined by a colon.
type Link struct {
	OneWayMs         int `json:"OneWayMs"`
	MegabitPerSecond int `json:"MegabitPerSecond"`
}

// ServiceKind tells how callers reach a service.
type ServiceKind string

// The service kinds.
const (
	KindModel ServiceKind = "Model"
	KindPlain ServiceKind = "Plain"
)

// Service is something that callers ask for by name.
type Service struct {
	Kind ServiceKind `json:"Kind"`
	// Regions may serve the service.
	Regions []string `json:"Regions"`
	// RepeatableMethods are the methods of a plain service whose calls may be
	// repeated. Calls of a model may always be repeated.
	RepeatableMethods []string `json:"RepeatableMethods,omitempty"`
	// FirstTokenBudgetMs bounds the wait for the first byte of an answer.
	FirstTokenBudgetMs int `json:"FirstTokenBudgetMs"`
	// LongTokens is the expected output from which a call counts as long.
	LongTokens int `json:"LongTokens,omitempty"`
}

// Target is a replica of a service.
type Target struct {
	Service       string `json:"Service"`
	Region        string `json:"Region"`
	DataCentre    string `json:"DataCentre"`
	Address       string `json:"Address"`
	Slots         int    `json:"Slots"`
	ChecksFencing bool   `json:"ChecksFencing,omitempty"`
	Leaving       bool   `json:"Leaving,omitempty"`
}

// Workspace is a customer of the operators, with its rules on data.
type Workspace struct {
	Home string `json:"Home"`
	// Residency lists the regions where the workspace's data may be served or
	// stored.
	Residency []string `json:"Residency"`
	// RequestsPerSecond and Burst limit each host's share; zero sets no limit.
	RequestsPerSecond float64 `json:"RequestsPerSecond,omitempty"`
	Burst             int     `json:"Burst,omitempty"`
}

// DataClass narrows the residency of calls that name it.
type DataClass struct {
	Regions []string `json:"Regions"`
}

// Role tells what the holder of a key may do.
type Role string

// The roles.
const (
	RoleCaller   Role = "Caller"
	RoleReader   Role = "Reader"
	RoleOperator Role = "Operator"
)

// Key admits a caller or operator. Only the SHA-256 digests of the secrets are
// kept; two digests at once allow a rotation.
type Key struct {
	Role      Role     `json:"Role"`
	Workspace string   `json:"Workspace,omitempty"`
	Digests   []string `json:"Digests"`
}

// Limits are the fleet's bounds.
type Limits struct {
	MaxBodyBytes      int     `json:"MaxBodyBytes"`
	MaxAnswerBytes    int     `json:"MaxAnswerBytes"`
	MaxQueuedPerHost  int     `json:"MaxQueuedPerHost"`
	RetryShare        float64 `json:"RetryShare"`
	HedgeShare        float64 `json:"HedgeShare"`
	MaxEjectedShare   float64 `json:"MaxEjectedShare"`
	LongSlotShare     float64 `json:"LongSlotShare"`
	ClaimRetentionSec int     `json:"ClaimRetentionSec"`
	CallTimeoutSec    int     `json:"CallTimeoutSec"`
}

// DefaultLimits returns the limits of a new configuration.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes: 1 << 20, MaxAnswerBytes: 8 << 20, MaxQueuedPerHost: 512,
		RetryShare: 0.1, HedgeShare: 0.02, MaxEjectedShare: 0.34, LongSlotShare: 0.75,
		ClaimRetentionSec: 24 * 3600, CallTimeoutSec: 600,
	}
}

// MaxBodyBytes is the largest value of Limits.MaxBodyBytes.
const MaxBodyBytes = 8 << 20
