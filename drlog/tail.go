package drlog

const (
	// The tail is what a VM relays to peers that were cut off for a while;
	// beyond it they fetch the state.
	maxTailRecords = 4096
	maxTailBytes   = 4 << 20
)

// tail holds the most recent raw records without gaps.
type tail struct {
	records []Record
	bytes   int
}

func (t *tail) add(r Record) {
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data)
		t.records[0] = Record{}
		t.records = t.records[1:]
	}
}

func (t *tail) clear() { *t = tail{} }

// recordsFrom returns up to limit records and size bytes from an offset on, but at
// least one if there is any.
func (t *tail) recordsFrom(offset uint64, limit, size int) []Record {
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
