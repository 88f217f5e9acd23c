package mesh

// The platform's store may come back from a copy that lacks its latest changes, and give
// their versions out again. Each time it begins a new era. A revision holds the era above
// the version, so that revisions are in the order of the changes over all eras. A store
// that names no era is in era 0.
const versionBits = 48

// Stamp returns the revision of a version of the store in an era.
func Stamp(era, version uint64) uint64 { return era<<versionBits | version }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> versionBits }

// VersionOf returns the store's version of a revision.
func VersionOf(revision uint64) uint64 { return revision & (1<<versionBits - 1) }
