package standin

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Plan lists the stand-ins that one process runs.
type Plan struct {
	Engines  []EnginePlan  `json:"Engines"`
	Services []ServicePlan `json:"Services"`
	// KeyValue and Platform are the addresses of these stand-ins. An empty address starts
	// none.
	KeyValue string `json:"KeyValue"`
	Platform string `json:"Platform"`
}

// EnginePlan is a model engine with its address.
type EnginePlan struct {
	Address string        `json:"Address"`
	Options EngineOptions `json:"Options"`
}

// ServicePlan is a plain service with its address.
type ServicePlan struct {
	Address string `json:"Address"`
}

// ParsePlan decodes a plan from JSON. It returns an error for an unknown field.
func ParsePlan(data []byte) (Plan, error) {
	var plan Plan
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, errors.Wrap(err, "plan of stand-ins")
	}
	return plan, nil
}

const (
	planHostListLag = time.Second
	planWeightRate  = 64 << 20 // bytes a second
)

// Start starts all stand-ins of the plan and returns a function that stops them. If one
// fails to listen, it stops the others and returns the error.
func (p Plan) Start() (stop func(), err error) {
	var servers []*Server
	stop = func() {
		for _, s := range servers {
			s.Kill()
		}
	}
	start := func(s *Server, address string) {
		if err == nil && address != "" {
			err = s.Listen(address)
			servers = append(servers, s)
		}
	}
	for _, e := range p.Engines {
		start(NewEngine(e.Options).Server, e.Address)
	}
	for _, s := range p.Services {
		start(NewService().Server, s.Address)
	}
	start(NewKeyValue().Server, p.KeyValue)
	start(NewPlatform(planHostListLag, planWeightRate).Server, p.Platform)
	if err != nil {
		stop()
		return nil, err
	}
	return stop, nil
}
