package drlog

// snapshotScan looks for a snapshot in the retained records, when the records that
// follow the held state are no longer retained.
type snapshotScan struct {
	first     uint64 // where the scan began
	next      uint64 // offset to read next
	records   []Record
	assembler assembler
	found     *snapshot
}

// add takes the next record and reports whether it completed a snapshot from
// which the retained records continue without a gap.
func (s *snapshotScan) add(r Record) bool {
	if r.Offset != s.next {
		return false
	}
	s.next++
	s.records = append(s.records, r)
	_, part, ok := decodeRecord(r.Data)
	if !ok || part == nil {
		return false
	}
	found := s.assembler.add(part, r.Time)
	// A snapshot that claims to cover its own parts is corrupt.
	if found == nil || found.covers+1 < s.first || found.covers >= r.Offset {
		return false
	}
	s.found = found
	return true
}
