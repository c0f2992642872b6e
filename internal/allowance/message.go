package allowance

// Message is what one host sends another. Its parts must be applied once: receivers drop duplicates by Sequence.
type Message struct {
	To        string     `cbor:"-"`
	Sequence  uint64     `cbor:"1,keyasint"`
	Transfers []Transfer `cbor:"2,keyasint,omitempty"`
	// Wants are the tokens that the owner of a shard asks of that in another region, in each giveInterval.
	Wants []Amount `cbor:"3,keyasint,omitempty"`
	// Gives are tokens of the sender's buckets.
	Gives []Amount `cbor:"4,keyasint,omitempty"`
}

// Transfer is the share-time of a host for all workspaces of a shard, and what it returns of calls that did
// not run.
type Transfer struct {
	Shard int `cbor:"1,keyasint"`
	// Seconds is the time for which the sender has generated, and Share that time multiplied by its share of
	// the fleet.
	Seconds float64  `cbor:"2,keyasint,omitempty"`
	Share   float64  `cbor:"3,keyasint,omitempty"`
	Refunds []Amount `cbor:"4,keyasint,omitempty"`
	// Release is set in the last transfer to an owner that the sender has no longer.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// Amount is an amount of tokens of a workspace.
type Amount struct {
	Workspace string  `cbor:"1,keyasint"`
	Tokens    float64 `cbor:"2,keyasint"`
}

// Query asks the owner of a workspace's shard to charge it for a call.
type Query struct {
	Workspace string  `cbor:"1,keyasint"`
	Cost      float64 `cbor:"2,keyasint"`
}

// Reply answers a Query. Redirect names another owner to query. Unready is set if the owner gets no tokens yet.
type Reply struct {
	Granted      bool   `cbor:"1,keyasint,omitempty"`
	RetryAfterMs int64  `cbor:"2,keyasint,omitempty"`
	Redirect     string `cbor:"3,keyasint,omitempty"`
	Unready      bool   `cbor:"4,keyasint,omitempty"`
}

// sequenceWords is the size of a sequenceWindow: 256 messages, more than a host sends in several seconds.
const sequenceWords = 4

// sequenceWindow accepts each sequence number of a process once. It drops those too old to be told from
// duplicates.
type sequenceWindow struct {
	incarnation int64
	highest     uint64
	seen        [sequenceWords]uint64 // bit i stands for highest-i
}

// accept reports whether a message is new.
func (w *sequenceWindow) accept(incarnation int64, sequence uint64) bool {
	if incarnation < w.incarnation || sequence == 0 {
		return false
	}
	if incarnation > w.incarnation {
		*w = sequenceWindow{incarnation: incarnation}
	}
	if sequence > w.highest {
		w.shift(sequence - w.highest)
		w.highest = sequence
		w.seen[0] |= 1
		return true
	}
	age := w.highest - sequence
	if age >= 64*sequenceWords || w.seen[age/64]&(1<<(age%64)) != 0 {
		return false
	}
	w.seen[age/64] |= 1 << (age % 64)
	return true
}

// shift makes all numbers seen older by n.
func (w *sequenceWindow) shift(n uint64) {
	var out [sequenceWords]uint64
	words, bits := n/64, n%64
	for i := words; i < sequenceWords; i++ {
		out[i] = w.seen[i-words] << bits
		if bits > 0 && i > words {
			out[i] |= w.seen[i-words-1] >> (64 - bits)
		}
	}
	w.seen = out
}
