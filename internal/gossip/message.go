package gossip

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

type messageKind string

const (
	kindHeartbeat messageKind = "Heartbeat"
	kindNews      messageKind = "News"
)

// message is a datagram between hosts: its JSON form, a line feed, its seal.
type message struct {
	Kind        messageKind `json:"Kind"`
	From        string      `json:"From"`
	DataCentre  string      `json:"DataCentre"`
	Incarnation int64       `json:"Incarnation"`
	Beat        uint64      `json:"Beat"`
	// Digest stands for all that the sender knows of hosts.
	Digest uint64          `json:"Digest,string,omitempty"`
	Items  []bulletin.Item `json:"Items,omitempty"`
}

const maxMessageBytes = 1400

func encode(m message, sealer *seal.Sealer) ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: encode")
	}
	sum := sealer.Seal(body)
	return append(append(body, '\n'), sum...), nil
}

func decode(data []byte, sealer *seal.Sealer) (message, error) {
	at := bytes.LastIndexByte(data, '\n')
	if at < 0 || !sealer.Check(string(data[at+1:]), data[:at]) {
		return message{}, errors.New("gossip: wrong seal")
	}
	var m message
	if err := json.Unmarshal(data[:at], &m); err != nil {
		return message{}, errors.Wrap(err, "gossip: decode")
	}
	return m, nil
}

// split divides items into runs that fit into one message each.
func split(items []bulletin.Item) [][]bulletin.Item {
	var out [][]bulletin.Item
	var run []bulletin.Item
	size := 0
	for _, item := range items {
		if n := bulletin.Size(item); size+n > maxMessageBytes && len(run) > 0 {
			out, run, size = append(out, run), nil, 0
		}
		run = append(run, item)
		size += bulletin.Size(item)
	}
	if len(run) > 0 {
		out = append(out, run)
	}
	return out
}
