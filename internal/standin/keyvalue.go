package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// KeyValue stands in for the platform's key-value service. It implements a part of the
// JSON gateway of etcd version 3.
type KeyValue struct {
	*Server

	mu        sync.Mutex
	revision  int64
	compacted int64
	keys      map[string]kvEntry
	history   []kvEvent
	leases    map[int64]*kvLease
	nextLease int64
	changed   chan struct{}
}

type kvEntry struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type kvEvent struct {
	Type string  `json:"type,omitempty"`
	Kv   kvEntry `json:"kv"`
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

type kvHeader struct {
	Revision int64 `json:"revision,string"`
}

type kvRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Revision int64  `json:"revision,string"`
}

type kvPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string"`
}

type kvCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type kvOp struct {
	RequestRange       *kvRange `json:"request_range"`
	RequestPut         *kvPut   `json:"request_put"`
	RequestDeleteRange *kvRange `json:"request_delete_range"`
}

type kvTxn struct {
	Compare []kvCompare `json:"compare"`
	Success []kvOp      `json:"success"`
	Failure []kvOp      `json:"failure"`
}

type kvRangeResponse struct {
	Header kvHeader  `json:"header"`
	Kvs    []kvEntry `json:"kvs,omitempty"`
	Count  int64     `json:"count,string"`
}

type kvOpResponse struct {
	ResponseRange  *kvRangeResponse `json:"response_range,omitempty"`
	ResponsePut    *kvPutResponse   `json:"response_put,omitempty"`
	ResponseDelete *kvPutResponse   `json:"response_delete_range,omitempty"`
}

type kvPutResponse struct {
	Header kvHeader `json:"header"`
}

type kvTxnResponse struct {
	Header    kvHeader       `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []kvOpResponse `json:"responses"`
}

type kvWatch struct {
	CreateRequest struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type kvWatchResult struct {
	Header          kvHeader  `json:"header"`
	Created         bool      `json:"created,omitempty"`
	Canceled        bool      `json:"canceled,omitempty"`
	CompactRevision int64     `json:"compact_revision,string,omitempty"`
	Events          []kvEvent `json:"events,omitempty"`
}

type kvWatchResponse struct {
	Result kvWatchResult `json:"result"`
}

type kvLeaseMessage struct {
	Header *kvHeader `json:"header,omitempty"`
	ID     int64     `json:"ID,string"`
	TTL    int64     `json:"TTL,string"`
}

const (
	kvExpiryInterval = 20 * time.Millisecond
	kvTypeDelete     = "DELETE"
	kvMaxValueBytes  = 1 << 20

	// Codes of gRPC in the JSON errors.
	kvInvalid    = 3
	kvNotFound   = 5
	kvOutOfRange = 11
)

// NewKeyValue returns an empty store at revision 1.
func NewKeyValue() *KeyValue {
	k := &KeyValue{revision: 1, keys: map[string]kvEntry{}, leases: map[int64]*kvLease{}, changed: make(chan struct{})}
	k.Server = newServer(k.serveKV)
	return k
}

func (k *KeyValue) serveKV(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v3/kv/range":
		handleKV(ctx, k.rangeKeys)
	case "/v3/kv/put":
		handleKV(ctx, k.put)
		k.maybeDropReply(ctx)
	case "/v3/kv/deleterange":
		handleKV(ctx, k.deleteRange)
		k.maybeDropReply(ctx)
	case "/v3/kv/txn":
		handleKV(ctx, k.txn)
		k.maybeDropReply(ctx)
	case "/v3/kv/compaction":
		handleKV(ctx, k.compact)
	case "/v3/watch":
		k.watch(ctx)
	case "/v3/lease/grant":
		handleKV(ctx, k.grant)
	case "/v3/lease/keepalive":
		handleKV(ctx, k.keepAlive)
	case "/v3/lease/revoke", "/v3/kv/lease/revoke":
		handleKV(ctx, k.revoke)
	default:
		writeJSON(ctx, fasthttp.StatusNotFound, errorBody{Error: "Not Found", Message: "Not Found", Code: kvNotFound})
	}
}

func (k *KeyValue) maybeDropReply(ctx *fasthttp.RequestCtx) {
	if k.loseReply() {
		dropConnection(ctx)
	}
}

type kvError struct {
	status, code int
	message      string
}

func handleKV[Request any](ctx *fasthttp.RequestCtx, run func(Request) (any, *kvError)) {
	var request Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error(), Message: err.Error(), Code: kvInvalid})
		return
	}
	response, fault := run(request)
	if fault != nil {
		writeJSON(ctx, fault.status, errorBody{Error: fault.message, Message: fault.message, Code: fault.code})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, response)
}

func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	if len(end) == 1 && end[0] == 0 {
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KeyValue) rangeKeys(request kvRange) (any, *kvError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if request.Revision > 0 && request.Revision < k.compacted {
		return nil, &kvError{fasthttp.StatusBadRequest, kvOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
	}
	return k.rangeLocked(request), nil
}

func (k *KeyValue) rangeLocked(request kvRange) *kvRangeResponse {
	response := &kvRangeResponse{Header: kvHeader{k.revision}}
	for _, entry := range k.keys {
		if inRange(entry.Key, request.Key, request.RangeEnd) {
			response.Kvs = append(response.Kvs, entry)
		}
	}
	sort.Slice(response.Kvs, func(i, j int) bool { return bytes.Compare(response.Kvs[i].Key, response.Kvs[j].Key) < 0 })
	response.Count = int64(len(response.Kvs))
	return response
}

func (k *KeyValue) put(request kvPut) (any, *kvError) {
	return k.txn(kvTxn{Success: []kvOp{{RequestPut: &request}}})
}

func (k *KeyValue) deleteRange(request kvRange) (any, *kvError) {
	return k.txn(kvTxn{Success: []kvOp{{RequestDeleteRange: &request}}})
}

func (k *KeyValue) txn(request kvTxn) (any, *kvError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	succeeded := true
	for _, c := range request.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return nil, &kvError{fasthttp.StatusBadRequest, kvInvalid, "stand-in compares MOD with EQUAL only"}
		}
		succeeded = succeeded && k.keys[string(c.Key)].ModRevision == c.ModRevision
	}
	ops := request.Failure
	if succeeded {
		ops = request.Success
	}
	if fault := k.validate(ops); fault != nil {
		return nil, fault
	}
	response := &kvTxnResponse{Succeeded: succeeded, Responses: k.apply(ops)}
	response.Header.Revision = k.revision
	return response, nil
}

func (k *KeyValue) validate(ops []kvOp) *kvError {
	seen := map[string]bool{}
	for _, op := range ops {
		if op.RequestPut == nil {
			continue
		}
		if len(op.RequestPut.Value) > kvMaxValueBytes {
			return &kvError{fasthttp.StatusBadRequest, kvInvalid, "etcdserver: request is too large"}
		}
		if seen[string(op.RequestPut.Key)] {
			return &kvError{fasthttp.StatusBadRequest, kvInvalid, "etcdserver: duplicate key given in txn request"}
		}
		seen[string(op.RequestPut.Key)] = true
		if op.RequestPut.Lease != 0 && k.leases[op.RequestPut.Lease] == nil {
			return &kvError{fasthttp.StatusNotFound, kvNotFound, "etcdserver: requested lease not found"}
		}
	}
	return nil
}

// apply executes the operations. If any of them changes a key, all changes
// get the same new revision.
func (k *KeyValue) apply(ops []kvOp) []kvOpResponse {
	next := k.revision + 1
	before := len(k.history)
	responses := make([]kvOpResponse, 0, len(ops))
	for _, op := range ops {
		switch {
		case op.RequestPut != nil:
			k.putLocked(*op.RequestPut, next)
			responses = append(responses, kvOpResponse{ResponsePut: &kvPutResponse{kvHeader{next}}})
		case op.RequestDeleteRange != nil:
			k.deleteLocked(*op.RequestDeleteRange, next)
			responses = append(responses, kvOpResponse{ResponseDelete: &kvPutResponse{kvHeader{next}}})
		case op.RequestRange != nil:
			responses = append(responses, kvOpResponse{ResponseRange: k.rangeLocked(*op.RequestRange)})
		}
	}
	if len(k.history) > before {
		k.revision = next
		close(k.changed)
		k.changed = make(chan struct{})
	}
	return responses
}

func (k *KeyValue) putLocked(put kvPut, revision int64) {
	key := string(put.Key)
	entry, ok := k.keys[key]
	if !ok {
		entry = kvEntry{Key: put.Key, CreateRevision: revision}
	}
	if old := k.leases[entry.Lease]; old != nil {
		delete(old.keys, key)
	}
	entry.Value, entry.ModRevision, entry.Lease = put.Value, revision, put.Lease
	entry.Version++
	k.keys[key] = entry
	if lease := k.leases[put.Lease]; lease != nil {
		lease.keys[key] = struct{}{}
	}
	k.history = append(k.history, kvEvent{Kv: entry})
}

func (k *KeyValue) deleteLocked(request kvRange, revision int64) {
	for key, entry := range k.keys {
		if !inRange(entry.Key, request.Key, request.RangeEnd) {
			continue
		}
		delete(k.keys, key)
		k.history = append(k.history, kvEvent{Type: kvTypeDelete, Kv: kvEntry{Key: entry.Key, ModRevision: revision}})
	}
}

func (k *KeyValue) compact(request kvRange) (any, *kvError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compacted = request.Revision
	kept := k.history[:0:0]
	for _, event := range k.history {
		if event.Kv.ModRevision >= k.compacted {
			kept = append(kept, event)
		}
	}
	k.history = kept
	return kvPutResponse{kvHeader{k.revision}}, nil
}

func (k *KeyValue) watch(ctx *fasthttp.RequestCtx) {
	var request kvWatch
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{Error: err.Error(), Message: err.Error(), Code: kvInvalid})
		return
	}
	create := request.CreateRequest
	ctx.SetContentType("application/json")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		encoder := json.NewEncoder(w)
		next := create.StartRevision
		if next == 0 {
			next = k.currentRevision() + 1
		}
		_ = encoder.Encode(kvWatchResponse{kvWatchResult{Header: kvHeader{k.currentRevision()}, Created: true}})
		for w.Flush() == nil {
			result, changed := k.since(next, create.Key, create.RangeEnd)
			if result.CompactRevision > 0 {
				_ = encoder.Encode(kvWatchResponse{result})
				_ = w.Flush()
				return
			}
			next = result.Header.Revision + 1
			if len(result.Events) > 0 {
				_ = encoder.Encode(kvWatchResponse{result})
				continue
			}
			<-changed
		}
	})
}

func (k *KeyValue) currentRevision() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision
}

func (k *KeyValue) since(revision int64, key, end []byte) (kvWatchResult, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	result := kvWatchResult{Header: kvHeader{k.revision}}
	if revision < k.compacted {
		result.Canceled, result.CompactRevision = true, k.compacted
		return result, k.changed
	}
	for _, event := range k.history {
		if event.Kv.ModRevision >= revision && inRange(event.Kv.Key, key, end) {
			result.Events = append(result.Events, event)
		}
	}
	return result, k.changed
}

func (k *KeyValue) grant(request kvLeaseMessage) (any, *kvError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextLease++
	ttl := time.Duration(request.TTL) * time.Second
	k.leases[k.nextLease] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]struct{}{}}
	go k.expire(k.nextLease)
	return kvLeaseMessage{Header: &kvHeader{k.revision}, ID: k.nextLease, TTL: request.TTL}, nil
}

func (k *KeyValue) keepAlive(request kvLeaseMessage) (any, *kvError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	response := kvLeaseMessage{Header: &kvHeader{k.revision}, ID: request.ID}
	if lease := k.leases[request.ID]; lease != nil {
		lease.expires = time.Now().Add(lease.ttl)
		response.TTL = int64(lease.ttl / time.Second)
	}
	return struct {
		Result kvLeaseMessage `json:"result"`
	}{response}, nil
}

func (k *KeyValue) revoke(request kvLeaseMessage) (any, *kvError) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases[request.ID] == nil {
		return nil, &kvError{fasthttp.StatusNotFound, kvNotFound, "etcdserver: requested lease not found"}
	}
	k.endLease(request.ID)
	return kvPutResponse{kvHeader{k.revision}}, nil
}

func (k *KeyValue) endLease(id int64) {
	lease := k.leases[id]
	delete(k.leases, id)
	ops := make([]kvOp, 0, len(lease.keys))
	for key := range lease.keys {
		ops = append(ops, kvOp{RequestDeleteRange: &kvRange{Key: []byte(key)}})
	}
	k.apply(ops)
}

func (k *KeyValue) expire(id int64) {
	for {
		time.Sleep(kvExpiryInterval)
		k.mu.Lock()
		lease := k.leases[id]
		if lease == nil {
			k.mu.Unlock()
			return
		}
		if time.Now().After(lease.expires) {
			k.endLease(id)
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
	}
}
