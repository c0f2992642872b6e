package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Index is a compiled version of the configuration. It is immutable; the
// request path reads it without locks.
type Index struct {
	Version  uint64
	Document Document

	targets map[string][]NamedTarget // by service
	keys    map[string]Principal     // by digest
	centres map[string]string        // region by data centre
}

// NamedTarget is a Target with its name.
type NamedTarget struct {
	Name string
	Target
}

// Principal is the holder of a key.
type Principal struct {
	Name      string
	Role      Role
	Workspace string
}

// Compile builds the index of a checked document.
func Compile(version uint64, document Document) *Index {
	x := &Index{
		Version: version, Document: document,
		targets: map[string][]NamedTarget{},
		keys:    map[string]Principal{},
		centres: map[string]string{},
	}
	for _, name := range slices.Sorted(maps.Keys(document.Targets)) {
		target := document.Targets[name]
		x.targets[target.Service] = append(x.targets[target.Service], NamedTarget{Name: name, Target: target})
	}
	for name, key := range document.Keys {
		for _, digest := range key.Digests {
			x.keys[digest] = Principal{Name: name, Role: key.Role, Workspace: key.Workspace}
		}
	}
	for name, region := range document.Regions {
		for _, centre := range region.DataCentres {
			x.centres[centre] = name
		}
	}
	return x
}

// TargetsOf returns the targets of a service in order of name.
func (x *Index) TargetsOf(service string) []NamedTarget { return x.targets[service] }

// Authenticate finds the holder of a secret.
func (x *Index) Authenticate(secret string) (Principal, bool) {
	if x == nil || secret == "" {
		return Principal{}, false
	}
	principal, ok := x.keys[Digest(secret)]
	return principal, ok
}

// RegionOf returns the region of a data centre.
func (x *Index) RegionOf(dataCentre string) (string, bool) {
	region, ok := x.centres[dataCentre]
	return region, ok
}

// LinkBetween returns the link between two regions.
func (x *Index) LinkBetween(a, b string) (Link, bool) {
	if a > b {
		a, b = b, a
	}
	link, ok := x.Document.Links[a+":"+b]
	return link, ok
}

// Digest returns the SHA-256 digest of a secret, as Key holds it.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
