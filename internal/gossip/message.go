package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

type messageKind string

const (
	kindHeartbeat messageKind = "Heartbeat"
	kindItems     messageKind = "News"
)

// message is a datagram between hosts, encoded in CBOR and signed.
type message struct {
	Kind        messageKind `cbor:"1,keyasint"`
	From        string      `cbor:"2,keyasint"`
	DataCentre  string      `cbor:"3,keyasint"`
	Incarnation int64       `cbor:"4,keyasint"`
	Sequence    uint64      `cbor:"5,keyasint"`
	// Digest is the membership digest of the sender; zero in messages other than heartbeats.
	Digest uint64          `cbor:"6,keyasint,omitempty"`
	Items  []bulletin.Item `cbor:"7,keyasint,omitempty"`
}

const maxMessageBytes = 1400

func encode(m message, signer *seal.Signer) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: encode")
	}
	return signer.SignDatagram(body), nil
}

func decode(data []byte, signer *seal.Signer) (message, error) {
	body, ok := signer.OpenDatagram(data)
	if !ok {
		return message{}, errors.New("gossip: invalid signature")
	}
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil {
		return message{}, errors.Wrap(err, "gossip: decode")
	}
	return m, nil
}

// split divides items into batches that fit into one message each.
func split(items []bulletin.Item) [][]bulletin.Item {
	var out [][]bulletin.Item
	var batch []bulletin.Item
	size := 0
	for _, item := range items {
		if n := bulletin.Size(item); size+n > maxMessageBytes && len(batch) > 0 {
			out, batch, size = append(out, batch), nil, 0
		}
		batch = append(batch, item)
		size += bulletin.Size(item)
	}
	if len(batch) > 0 {
		out = append(out, batch)
	}
	return out
}
