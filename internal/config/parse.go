package config

import (
	"bytes"
	"encoding/json"
	"io"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// Parse decodes and checks a document. It fails with Malformed on text that is not one
// JSON object of known fields, and with Invalid, caused by Problems, on a document that
// Check rejects.
func Parse(data []byte) (Document, error) {
	const op = "parse"
	document := Document{Limits: DefaultLimits()}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return Document{}, &Error{Op: op, Kind: Malformed, Cause: err}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Document{}, &Error{Op: op, Kind: Malformed, Cause: errors.New("expected one JSON object and nothing after it")}
	}
	if problems := Check(document); problems != nil {
		return Document{}, &Error{Op: op, Kind: Invalid, Cause: problems}
	}
	return document, nil
}

// PatchKind names the format of a patch.
type PatchKind string

// The patch formats: RFC 7396 and RFC 6902.
const (
	MergePatch PatchKind = "Merge"
	JSONPatch  PatchKind = "Patch"
)

// Apply returns the document that results from applying a patch to data. It does not
// check the result.
func Apply(data []byte, kind PatchKind, patch []byte) ([]byte, error) {
	const op = "apply patch"
	var out []byte
	var err error
	switch kind {
	case MergePatch:
		out, err = jsonpatch.MergePatch(data, patch)
	case JSONPatch:
		var operations jsonpatch.Patch
		if operations, err = jsonpatch.DecodePatch(patch); err == nil {
			out, err = operations.Apply(data)
		}
	default:
		err = errors.Errorf("Kind: expected %q or %q, got %q", MergePatch, JSONPatch, kind)
	}
	if err != nil {
		return nil, &Error{Op: op, Kind: BadPatch, Cause: err}
	}
	return out, nil
}

// Canonical returns a JSON document with sorted names and no white space, so that all
// hosts compute the same digest.
func Canonical(data []byte) ([]byte, error) {
	const op = "canonical form"
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return nil, &Error{Op: op, Kind: Malformed, Cause: err}
	}
	out, err := json.Marshal(v)
	if err != nil {
		return nil, &Error{Op: op, Kind: Malformed, Cause: err}
	}
	return out, nil
}
