package permission

import "slices"

// Homes are the regions in which the bodies of calls may be. The zero Homes are all regions. A host decides by
// them only together with what shows that they are in force; see Decide.
type Homes struct {
	lists [][]string // a region is a home if each list has it
	none  bool
}

// NewHomes returns the regions that each list has. An empty list has all regions.
func NewHomes(lists ...[]string) Homes {
	var h Homes
	for _, list := range lists {
		if len(list) > 0 {
			h.lists = append(h.lists, list)
		}
	}
	return h
}

// Nowhere returns Homes without a region.
func Nowhere() Homes { return Homes{none: true} }

// WithAll returns the regions that are in h and in other.
func (h Homes) WithAll(other Homes) Homes {
	return Homes{lists: slices.Concat(h.lists, other.lists), none: h.none || other.none}
}

// Restricted reports whether there are regions that are no home.
func (h Homes) Restricted() bool { return h.none || len(h.lists) > 0 }

// Equal reports whether h and other are made of the same lists.
func (h Homes) Equal(other Homes) bool {
	return h.none == other.none && slices.EqualFunc(h.lists, other.lists, slices.Equal[[]string])
}

// includeAll reports whether all of the given regions are homes, false for none.
func (h Homes) includeAll(regions []string) bool {
	return len(regions) > 0 && !slices.ContainsFunc(regions, func(region string) bool { return !h.include(region) })
}

// include reports whether a region is a home.
func (h Homes) include(region string) bool {
	return !h.none && !slices.ContainsFunc(h.lists, func(list []string) bool { return !slices.Contains(list, region) })
}
