package standin

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// Order instructs an engine to load or unload a model, or to change its role.
type Order struct {
	Kind    string `json:"Kind"` // Load, Unload or Role
	Model   string `json:"Model,omitempty"`
	Adapter string `json:"Adapter,omitempty"`
	Version string `json:"Version,omitempty"`
	Role    string `json:"Role,omitempty"`
	Fence   int64  `json:"Fence"` // fencing token
}

// OrderState is the state of an engine that results from its orders.
type OrderState struct {
	Loaded  map[string]string `json:"Loaded"` // version by model or model/adapter
	Role    string            `json:"Role"`
	Fence   int64             `json:"Fence"`
	Refused int               `json:"Refused"` // orders refused for an old fencing token
}

type orderBook struct {
	mu    sync.Mutex
	state OrderState
}

func (e *Engine) serveOrders(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		writeJSON(ctx, fasthttp.StatusOK, e.orders.snapshot())
		return
	}
	var order Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	if !e.orders.apply(order, e.options.ChecksFencing) {
		writeJSON(ctx, fasthttp.StatusConflict, errorBody{Error: "old fencing number"})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, e.orders.snapshot())
}

func (b *orderBook) apply(order Order, checkFence bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if checkFence && order.Fence < b.state.Fence {
		b.state.Refused++
		return false
	}
	b.state.Fence = order.Fence
	if b.state.Loaded == nil {
		b.state.Loaded = map[string]string{}
	}
	name := order.Model
	if order.Adapter != "" {
		name += "/" + order.Adapter
	}
	switch order.Kind {
	case "Load":
		b.state.Loaded[name] = order.Version
	case "Unload":
		delete(b.state.Loaded, name)
	case "Role":
		b.state.Role = order.Role
	}
	return true
}

func (b *orderBook) snapshot() OrderState {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.state
	out.Loaded = make(map[string]string, len(b.state.Loaded))
	for name, version := range b.state.Loaded {
		out.Loaded[name] = version
	}
	return out
}
