package config

// Document is the whole configuration. Its collections are maps keyed by name, so that
// a merge patch can change one entry. A Document must not change once it is compiled.
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

// Region is a group of data centres with fast links between them.
type Region struct {
	DataCentres []string `json:"DataCentres"`
}

// Link describes the wide-area link between two regions. Its key in Document.Links is
// the names of the two regions in alphabetical order, joined by a colon.
type Link struct {
	OneWayMs         int `json:"OneWayMs"`
	MegabitPerSecond int `json:"MegabitPerSecond"`
}

// ServiceKind is the kind of a service: a model or a plain HTTP service.
type ServiceKind string

// The service kinds.
const (
	KindModel ServiceKind = "Model"
	KindPlain ServiceKind = "Plain"
)

// Service is a model or a plain service that callers address by name.
type Service struct {
	Kind ServiceKind `json:"Kind"`
	// Regions lists the regions that may serve the service.
	Regions []string `json:"Regions"`
	// RepeatableMethods lists the HTTP methods of a plain service whose calls may be
	// retried. Calls of a model may always be retried.
	RepeatableMethods []string `json:"RepeatableMethods,omitempty"`
	// FirstTokenBudgetMs is the longest wait for the first byte of a response.
	FirstTokenBudgetMs int `json:"FirstTokenBudgetMs"`
	// LongTokens is the expected number of output tokens from which a call is classed
	// as long.
	LongTokens int `json:"LongTokens,omitempty"`
}

// Target is an instance of a service.
type Target struct {
	Service       string `json:"Service"`
	Region        string `json:"Region"`
	DataCentre    string `json:"DataCentre"`
	Address       string `json:"Address"`
	Slots         int    `json:"Slots"`
	ChecksFencing bool   `json:"ChecksFencing,omitempty"`
	Leaving       bool   `json:"Leaving,omitempty"`
}

// Workspace is a customer, with the regions and rates that are allowed for it.
type Workspace struct {
	// Home is the home region, one of Residency.
	Home string `json:"Home"`
	// Residency lists the regions where the workspace's data may be processed or
	// stored.
	Residency []string `json:"Residency"`
	// RequestsPerSecond and Burst limit the requests of the workspace at each host;
	// zero means no limit.
	RequestsPerSecond float64 `json:"RequestsPerSecond,omitempty"`
	Burst             int     `json:"Burst,omitempty"`
}

// DataClass restricts the residency of the calls that name it to Regions.
type DataClass struct {
	Regions []string `json:"Regions"`
}

// Role is the set of permissions of a key.
type Role string

// The roles.
const (
	RoleCaller   Role = "Caller"
	RoleReader   Role = "Reader"
	RoleOperator Role = "Operator"
)

// Key authenticates a caller, a reader or an operator. Only the SHA-256 digests of its
// secrets are stored; a key may have several digests, so that a secret can be rotated.
type Key struct {
	Role      Role     `json:"Role"`
	Workspace string   `json:"Workspace,omitempty"`
	Digests   []string `json:"Digests"`
}

// Limits holds the limits that apply to the whole fleet. Shares are from 0 to 1.
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
