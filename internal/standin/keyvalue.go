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

// KeyValue stands in for the platform's key-value service. It speaks the
// published HTTP and JSON interface of etcd version 3.
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

type kvRangeAnswer struct {
	Header kvHeader  `json:"header"`
	Kvs    []kvEntry `json:"kvs,omitempty"`
	Count  int64     `json:"count,string"`
}

type kvOpAnswer struct {
	ResponseRange  *kvRangeAnswer `json:"response_range,omitempty"`
	ResponsePut    *kvPutAnswer   `json:"response_put,omitempty"`
	ResponseDelete *kvPutAnswer   `json:"response_delete_range,omitempty"`
}

type kvPutAnswer struct {
	Header kvHeader `json:"header"`
}

type kvTxnAnswer struct {
	Header    kvHeader     `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []kvOpAnswer `json:"responses"`
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

type kvWatchAnswer struct {
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
	kvInvalid        = 3
	kvNotFound       = 5
	kvOutOfRange     = 11
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
		k.maybeLose(ctx)
	case "/v3/kv/deleterange":
		handleKV(ctx, k.deleteRange)
		k.maybeLose(ctx)
	case "/v3/kv/txn":
		handleKV(ctx, k.txn)
		k.maybeLose(ctx)
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
		answerJSON(ctx, fasthttp.StatusNotFound, failed{Error: "Not Found", Message: "Not Found", Code: kvNotFound})
	}
}

func (k *KeyValue) maybeLose(ctx *fasthttp.RequestCtx) {
	if k.loseReply() {
		hangUp(ctx)
	}
}

type kvFailure struct {
	status, code int
	message      string
}

func handleKV[Request any](ctx *fasthttp.RequestCtx, run func(Request) (any, *kvFailure)) {
	var request Request
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, failed{Error: err.Error(), Message: err.Error(), Code: kvInvalid})
		return
	}
	answer, fault := run(request)
	if fault != nil {
		answerJSON(ctx, fault.status, failed{Error: fault.message, Message: fault.message, Code: fault.code})
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, answer)
}

func within(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	if len(end) == 1 && end[0] == 0 {
		return bytes.Compare(key, from) >= 0
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KeyValue) rangeKeys(request kvRange) (any, *kvFailure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if request.Revision > 0 && request.Revision < k.compacted {
		return nil, &kvFailure{fasthttp.StatusBadRequest, kvOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
	}
	return k.rangeLocked(request), nil
}

func (k *KeyValue) rangeLocked(request kvRange) *kvRangeAnswer {
	answer := &kvRangeAnswer{Header: kvHeader{k.revision}}
	for _, entry := range k.keys {
		if within(entry.Key, request.Key, request.RangeEnd) {
			answer.Kvs = append(answer.Kvs, entry)
		}
	}
	sort.Slice(answer.Kvs, func(i, j int) bool { return bytes.Compare(answer.Kvs[i].Key, answer.Kvs[j].Key) < 0 })
	answer.Count = int64(len(answer.Kvs))
	return answer
}

func (k *KeyValue) put(request kvPut) (any, *kvFailure) {
	return k.txn(kvTxn{Success: []kvOp{{RequestPut: &request}}})
}

func (k *KeyValue) deleteRange(request kvRange) (any, *kvFailure) {
	return k.txn(kvTxn{Success: []kvOp{{RequestDeleteRange: &request}}})
}

func (k *KeyValue) txn(request kvTxn) (any, *kvFailure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	succeeded := true
	for _, c := range request.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return nil, &kvFailure{fasthttp.StatusBadRequest, kvInvalid, "stand-in compares MOD with EQUAL only"}
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
	answer := &kvTxnAnswer{Succeeded: succeeded, Responses: k.apply(ops)}
	answer.Header.Revision = k.revision
	return answer, nil
}

func (k *KeyValue) validate(ops []kvOp) *kvFailure {
	seen := map[string]bool{}
	for _, op := range ops {
		if op.RequestPut == nil {
			continue
		}
		if len(op.RequestPut.Value) > kvMaxValueBytes {
			return &kvFailure{fasthttp.StatusBadRequest, kvInvalid, "etcdserver: request is too large"}
		}
		if seen[string(op.RequestPut.Key)] {
			return &kvFailure{fasthttp.StatusBadRequest, kvInvalid, "etcdserver: duplicate key given in txn request"}
		}
		seen[string(op.RequestPut.Key)] = true
		if op.RequestPut.Lease != 0 && k.leases[op.RequestPut.Lease] == nil {
			return &kvFailure{fasthttp.StatusNotFound, kvNotFound, "etcdserver: requested lease not found"}
		}
	}
	return nil
}

// apply runs the operations at one new revision, if any of them writes.
func (k *KeyValue) apply(ops []kvOp) []kvOpAnswer {
	next := k.revision + 1
	before := len(k.history)
	answers := make([]kvOpAnswer, 0, len(ops))
	for _, op := range ops {
		switch {
		case op.RequestPut != nil:
			k.putLocked(*op.RequestPut, next)
			answers = append(answers, kvOpAnswer{ResponsePut: &kvPutAnswer{kvHeader{next}}})
		case op.RequestDeleteRange != nil:
			k.deleteLocked(*op.RequestDeleteRange, next)
			answers = append(answers, kvOpAnswer{ResponseDelete: &kvPutAnswer{kvHeader{next}}})
		case op.RequestRange != nil:
			answers = append(answers, kvOpAnswer{ResponseRange: k.rangeLocked(*op.RequestRange)})
		}
	}
	if len(k.history) > before {
		k.revision = next
		close(k.changed)
		k.changed = make(chan struct{})
	}
	return answers
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
		if !within(entry.Key, request.Key, request.RangeEnd) {
			continue
		}
		delete(k.keys, key)
		k.history = append(k.history, kvEvent{Type: kvTypeDelete, Kv: kvEntry{Key: entry.Key, ModRevision: revision}})
	}
}

func (k *KeyValue) compact(request kvRange) (any, *kvFailure) {
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
	return kvPutAnswer{kvHeader{k.revision}}, nil
}

func (k *KeyValue) watch(ctx *fasthttp.RequestCtx) {
	var request kvWatch
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		answerJSON(ctx, fasthttp.StatusBadRequest, failed{Error: err.Error(), Message: err.Error(), Code: kvInvalid})
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
		_ = encoder.Encode(kvWatchAnswer{kvWatchResult{Header: kvHeader{k.currentRevision()}, Created: true}})
		for w.Flush() == nil {
			result, changed := k.since(next, create.Key, create.RangeEnd)
			if result.CompactRevision > 0 {
				_ = encoder.Encode(kvWatchAnswer{result})
				_ = w.Flush()
				return
			}
			next = result.Header.Revision + 1
			if len(result.Events) > 0 {
				_ = encoder.Encode(kvWatchAnswer{result})
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
		if event.Kv.ModRevision >= revision && within(event.Kv.Key, key, end) {
			result.Events = append(result.Events, event)
		}
	}
	return result, k.changed
}

func (k *KeyValue) grant(request kvLeaseMessage) (any, *kvFailure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextLease++
	ttl := time.Duration(request.TTL) * time.Second
	k.leases[k.nextLease] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]struct{}{}}
	go k.expire(k.nextLease)
	return kvLeaseMessage{Header: &kvHeader{k.revision}, ID: k.nextLease, TTL: request.TTL}, nil
}

func (k *KeyValue) keepAlive(request kvLeaseMessage) (any, *kvFailure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := kvLeaseMessage{Header: &kvHeader{k.revision}, ID: request.ID}
	if lease := k.leases[request.ID]; lease != nil {
		lease.expires = time.Now().Add(lease.ttl)
		answer.TTL = int64(lease.ttl / time.Second)
	}
	return struct {
		Result kvLeaseMessage `json:"result"`
	}{answer}, nil
}

func (k *KeyValue) revoke(request kvLeaseMessage) (any, *kvFailure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leases[request.ID] == nil {
		return nil, &kvFailure{fasthttp.StatusNotFound, kvNotFound, "etcdserver: requested lease not found"}
	}
	k.endLease(request.ID)
	return kvPutAnswer{kvHeader{k.revision}}, nil
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
