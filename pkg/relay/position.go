package relay

import "cmp"

// A Position names a state of the store. Each time the store comes back from an
// earlier copy a new era begins, in which revisions go back and are given out
// again. So a revision says nothing without its era.
type Position struct {
	// Era is 0 if the store states none.
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, the same as or after o. Every
// position of a later era is after those of the earlier ones.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}
