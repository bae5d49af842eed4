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
	size    int
}

func (t *tail) add(r Record) {
	t.records = append(t.records, r)
	t.size += len(r.Data)
	for len(t.records) > maxTailRecords || t.size > maxTailBytes {
		t.size -= len(t.records[0].Data)
		t.records[0] = Record{}
		t.records = t.records[1:]
	}
}

func (t *tail) clear() { *t = tail{} }

// from returns up to limit records and size bytes from an offset on, but at
// least one if there is any.
func (t *tail) from(offset uint64, limit, size int) []Record {
	if len(t.records) == 0 || offset < t.records[0].Offset {
		return nil
	}
	i := offset - t.records[0].Offset
	if i >= uint64(len(t.records)) {
		return nil
	}
	rs := t.records[i:]
	for n, r := range rs {
		size -= len(r.Data)
		if n == limit || (size < 0 && n > 0) {
			return rs[:n]
		}
	}
	return rs
}
