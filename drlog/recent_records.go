package drlog

const (
	// maxTailRecords and maxTailBytes limit the records that a VM keeps for peers
	// that cannot read the log. Peers that need older records fetch the whole
	// state instead.
	maxTailRecords = 4096
	maxTailBytes   = 4 << 20
)

// recentRecords holds the most recent records, undecoded and without gaps in their
// offsets.
type recentRecords struct {
	records []Record
	bytes   int
}

func (t *recentRecords) add(r Record) {
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data)
		t.records[0] = Record{}
		t.records = t.records[1:]
	}
}

func (t *recentRecords) clear() { *t = recentRecords{} }

// recordsFrom returns up to limit records with up to size bytes in total, starting
// at offset. It returns at least one record, even a larger one, if the record
// at offset is still held, and none otherwise.
func (t *recentRecords) recordsFrom(offset uint64, limit, size int) []Record {
	if len(t.records) == 0 || offset < t.records[0].Offset {
		return nil
	}
	i := offset - t.records[0].Offset
	if i >= uint64(len(t.records)) {
		return nil
	}
	records := t.records[i:]
	for n, r := range records {
		size -= len(r.Data)
		if n == limit || (size < 0 && n > 0) {
			return records[:n]
		}
	}
	return records
}
