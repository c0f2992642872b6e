package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Index is a compiled version of the configuration. It is immutable, so that the
// request path reads it without locks.
type Index struct {
	Version  uint64
	Document Document

	targetsByService  map[string][]NamedTarget
	principalByDigest map[string]Principal
	regionByCentre    map[string]string
}

// NamedTarget is a Target with its name.
type NamedTarget struct {
	Name string
	Target
}

// Principal is the authenticated holder of a key.
type Principal struct {
	Name      string
	Role      Role
	Workspace string
}

// Compile returns the index of a document that Check has accepted.
func Compile(version uint64, document Document) *Index {
	x := &Index{
		Version: version, Document: document,
		targetsByService:  map[string][]NamedTarget{},
		principalByDigest: map[string]Principal{},
		regionByCentre:    map[string]string{},
	}
	for _, name := range slices.Sorted(maps.Keys(document.Targets)) {
		target := document.Targets[name]
		x.targetsByService[target.Service] = append(x.targetsByService[target.Service], NamedTarget{Name: name, Target: target})
	}
	for name, key := range document.Keys {
		for _, digest := range key.Digests {
			x.principalByDigest[digest] = Principal{Name: name, Role: key.Role, Workspace: key.Workspace}
		}
	}
	for name, region := range document.Regions {
		for _, centre := range region.DataCentres {
			x.regionByCentre[centre] = name
		}
	}
	return x
}

// TargetsOf returns the targets of a service, sorted by name.
func (x *Index) TargetsOf(service string) []NamedTarget { return x.targetsByService[service] }

// Authenticate returns the holder of the key with the given secret.
func (x *Index) Authenticate(secret string) (Principal, bool) {
	if x == nil || secret == "" {
		return Principal{}, false
	}
	principal, ok := x.principalByDigest[Digest(secret)]
	return principal, ok
}

// RegionOf returns the region of a data centre.
func (x *Index) RegionOf(dataCentre string) (string, bool) {
	region, ok := x.regionByCentre[dataCentre]
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

// Digest returns the SHA-256 digest of a secret in hexadecimal digits, as in
// Key.Digests.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
