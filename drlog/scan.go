package drlog

// snapshotScan searches the retained records for a snapshot. It is used when the
// log has already removed the records that follow the Follower's state.
type snapshotScan struct {
	first     uint64 // lowest retained offset, where the scan began
	next      uint64 // offset to read next
	records   []Record
	assembler assembler
	found     *snapshot
}

// add collects the next record. It returns true, and sets found, if the record
// completes a snapshot that the collected records continue without a gap.
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
	// A snapshot cannot include its own parts; one that claims to is corrupt.
	if found == nil || found.covers+1 < s.first || found.covers >= r.Offset {
		return false
	}
	s.found = found
	return true
}
