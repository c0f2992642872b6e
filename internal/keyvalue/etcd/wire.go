package etcd

// The types below have the field names of etcd's JSON gateway, which encodes 64-bit
// integers as strings and bytes in base64.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type requestOp struct {
	RequestRange       *rangeRequest `json:"request_range,omitempty"`
	RequestPut         *putRequest   `json:"request_put,omitempty"`
	RequestDeleteRange *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type responseOp struct {
	ResponseRange *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	CreateRequest watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult    `json:"result"`
	Error  *errorResponse `json:"error,omitempty"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type errorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// The gRPC status codes that the service returns.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
	codeOutOfRange      = 11
	codeUnavailable     = 14
)
