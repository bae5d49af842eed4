package drconfig

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// TestMain sets a fixed seed for the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// testStream is a Fold whose records get consecutive offsets. The first record puts
// baseObjects.
type testStream struct {
	*Fold
	nextOffset uint64
}

func newTestStream() *testStream {
	s := &testStream{Fold: NewFold(), nextOffset: 1}
	s.put("base", 0, baseObjects()...)
	return s
}

// append applies data as the next record.
func (s *testStream) append(data []byte) {
	s.Apply(drlog.Record{Offset: s.nextOffset, Data: data})
	s.nextOffset++
}

// put applies a change that puts objects and returns its result.
func (s *testStream) put(id string, basedOn uint64, puts ...Object) Result {
	s.append(Change{ID: id, BasedOn: basedOn, Puts: puts}.Encode())
	r, _ := s.Result(id)
	return r
}

// otherAccount returns the account "other" with the weight.
func otherAccount(weight int) Object { return ClientAccount{Name: "other", Weight: weight} }

// Guards against a change that overwrites a concurrent one of the same object, a change
// that is applied in part, and a retry that takes effect twice after a lost response.
func TestFold(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	is.Equal(s.Current().Offset(), uint64(1))
	is.True(s.put("a", 1, otherAccount(2)).Accepted)
	// Concurrent with a, on the same object and on another one.
	r := s.put("b", 1, otherAccount(3), ClientAccount{Name: "small", Weight: 9})
	is.Equal(r, Result{Offset: 3, Problems: []string{"client-account other changed at offset 2, after offset 1 that the change is based on"}})
	small, _ := s.Current().Account("small")
	is.Equal(small.Weight, 2)
	is.True(s.put("c", 1, ClientAccount{Name: "small", Labels: small.Labels, Weight: 4}).Accepted)
	// One invalid object makes the whole change invalid.
	r = s.put("d", 4, otherAccount(5), Key{ID: "k", Account: "none", Hash: HashKey(secret, "k")})
	is.Equal(r.Accepted, false)
	is.Equal(r.Problems, []string{`key k: client account "none" does not exist`})
	// The response to a was lost. Its retry must return the first result, even
	// after another change of the same object.
	is.True(s.put("e", 5, otherAccount(6)).Accepted)
	is.Equal(s.put("a", 1, otherAccount(2)), Result{Offset: 2, Accepted: true})
	is.Equal(s.put("d", 6, otherAccount(5)), r)
	got, _ := s.Current().Account("other")
	is.Equal(got.Weight, 6)
	is.Equal(s.Current().Offset(), uint64(6))
	is.Equal(s.Offset(), uint64(8))
	is.Equal(s.put("f", 9, otherAccount(7)).Accepted, false) // based on itself
	// Applying an older record must change nothing.
	s.Apply(drlog.Record{Offset: 2, Data: Change{ID: "z", Puts: Objects{otherAccount(9)}}.Encode()})
	_, ok := s.Result("z")
	is.True(!ok)
}

// Guards against accepting two concurrent changes of different objects that are valid
// on their own but not together, here selectors with different rates for an account.
func TestFoldChecksTheResult(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	is.True(s.put("label", 1, ClientAccount{Name: "other", Labels: Labels{"new": "x"}}).Accepted)
	selector := func(name string, rate float64) Selector {
		return Selector{Name: name, Accounts: Labels{"new": "x"}, Rate: rate, Burst: 9, Replicas: Range{0, 1}}
	}
	is.True(s.put("x", 2, selector("x", 1)).Accepted)
	is.True(!s.put("y", 2, selector("y", 2)).Accepted)
	is.True(s.put("z", 2, selector("z", 1)).Accepted)
}

// Guards against readers that see a partly applied change, or go back to an older
// configuration. It also finds data races when run with -race.
func TestReadersDuringApply(t *testing.T) {
	s := newTestStream()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for last := uint64(0); last < 200; {
				c := s.Current()
				a, _ := c.Account("other")
				if c.Offset() < last || c.Offset() > 1 && uint64(a.Weight) != c.Offset() {
					t.Errorf("offset %d after %d has weight %d", c.Offset(), last, a.Weight)
				}
				last = c.Offset()
				s.Result("base")
			}
		})
	}
	for offset := 2; offset <= 200; offset++ {
		s.put(fmt.Sprint(offset), s.Offset(), otherAccount(offset))
	}
	group.Wait()
}

// Guards against a change that recreates a deleted object because it is based on an
// offset before the deletion.
func TestFoldDelete(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	s.append(Change{ID: "a", BasedOn: 1, Deletes: []Ref{{KindAccount, "other"}}}.Encode())
	_, ok := s.Current().Account("other")
	is.True(!ok)
	is.Equal(s.put("b", 1, otherAccount(2)).Accepted, false)
	is.True(s.put("c", 2, otherAccount(2)).Accepted)
}

// Guards against records that are not valid changes or have another format: they must
// change nothing, and those with an ID must get a result that states the problem.
func TestFoldMalformed(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	before := s.Current()
	for _, data := range [][]byte{nil, []byte("garbage"), Change{BasedOn: 1, Puts: Objects{otherAccount(2)}}.Encode(), Change{ID: strings.Repeat("x", maxChangeIDBytes+1)}.Encode()} {
		s.append(data)
	}
	is.Equal(s.Current().Offset(), before.Offset())
	encode := func(c *drpb.ConfigChange) []byte {
		c.BasedOn = s.Offset()
		b, err := proto.Marshal(c)
		is.NoErr(err)
		return b
	}
	put := func(kind, name, json string) []*drpb.ConfigObject {
		return []*drpb.ConfigObject{{Kind: kind, Name: name, Json: []byte(json)}}
	}
	for id, c := range map[string]*drpb.ConfigChange{
		"unsupported format 99, want 1":                                        {Format: 99},
		"the change is empty":                                                  {Format: 1},
		`accounts x:1:1: unknown kind "accounts"`:                              {Format: 1, Puts: put("accounts", "x", `{}`)},
		`client-account x:1:1: the object is named "y"`:                        {Format: 1, Puts: put("client-account", "x", `{"name": "y"}`)},
		`client-account x:1:15: unknown field "weigh"; did you mean "weight"?`: {Format: 1, Puts: put("client-account", "x", `{"name": "x", "weigh": 1}`)},
		`client-account x:1:1: parsing value: unexpected EOF`:                  {Format: 1, Puts: put("client-account", "x", ``)},
		`accounts x does not exist and cannot be deleted`:                      {Format: 1, Deletes: []*drpb.ConfigRef{{Kind: "accounts", Name: "x"}}},
		`client-account x does not exist and cannot be deleted`:                {Format: 1, Deletes: []*drpb.ConfigRef{{Kind: "client-account", Name: "x"}}},
	} {
		c.ChangeId = id[:min(len(id), maxChangeIDBytes)]
		s.append(encode(c))
		r, ok := s.Result(c.ChangeId)
		is.True(ok)
		is.True(!r.Accepted)
		if !slices.Equal(r.Problems, []string{id}) {
			t.Errorf("problems are %q, want %q", r.Problems, id)
		}
	}
}

// Guards against results and deletions that are kept forever, and against a retry that
// takes effect again after its first result was dropped.
func TestFoldForgets(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	is.True(s.put("first", 1, otherAccount(2)).Accepted)
	s.append(Change{ID: "delete", BasedOn: 2, Deletes: []Ref{{KindKey, "k2"}}}.Encode())
	for i := range HistoryWindow + 10 {
		s.append(Change{ID: fmt.Sprint(i), BasedOn: s.Offset()}.Encode())
	}
	_, ok := s.Result("first")
	is.True(!ok)
	is.True(len(s.results) <= HistoryWindow+1)
	is.Equal(len(s.resultIDs), len(s.results))
	is.Equal(len(s.deletions), 0)
	r := s.put("first", 1, otherAccount(2))
	is.Equal(r.Problems, []string{"based on offset 1, which is more than 4096 offsets old"})
	is.Equal(s.put("key", 2, baseObjects()[11]).Accepted, false)
}

// Guards against a deleted key that still authenticates, and against listeners that are
// not called for the deletion. Queued requests with the key depend on that call.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	var withdrawn []string
	s.OnChange(func(before, after Config) {
		for _, k := range before.Keys() {
			if _, ok := after.Key(k.ID); !ok {
				withdrawn = append(withdrawn, k.ID)
			}
		}
		_, ok := s.Result("withdraw")
		is.True(ok)
		is.Equal(s.Current().Offset(), after.Offset())
	})
	_, ok := s.Current().Authenticate("drk_one", secret)
	is.True(ok)
	s.append(Change{ID: "withdraw", BasedOn: 1, Deletes: []Ref{{KindKey, "k1"}}}.Encode())
	_, ok = s.Current().Authenticate("drk_one", secret)
	is.True(!ok)
	is.Equal(withdrawn, []string{"k1"})
	s.append(nil) // not a change, so listeners are not called
	is.Equal(withdrawn, []string{"k1"})
}

// Guards against a snapshot that lacks part of the state, and against restoring one
// that is older than the state, damaged, or newer than the offset it is restored for.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	s := newTestStream()
	s.append(Change{ID: "a", BasedOn: 1, Deletes: []Ref{{KindKey, "k1"}}}.Encode())
	s.put("b", 1, otherAccount(-1))
	snapshot := s.Snapshot()
	f := NewFold()
	called := 0
	f.OnChange(func(_, _ Config) { called++ })
	is.NoErr(f.Restore(3, snapshot))
	is.Equal(called, 1)
	is.True(bytes.Equal(f.Snapshot(), snapshot))
	is.Equal(f.Current().Objects(), s.Current().Objects())
	is.Equal(f.Current().Offset(), uint64(2))
	r, _ := f.Result("b")
	is.Equal(r.Problems, []string{"client-account other: weight -1 is negative"})
	f.Apply(drlog.Record{Offset: 4, Data: Change{ID: "c", BasedOn: 1, Puts: Objects{baseObjects()[10]}}.Encode()})
	r, _ = f.Result("c")
	is.Equal(r.Accepted, false) // k1 was deleted after offset 1
	is.True(f.Restore(3, snapshot) != nil)
	is.True(f.Restore(2, snapshot) != nil)
	is.True(NewFold().Restore(2, snapshot) != nil)
	is.True(NewFold().Restore(3, snapshot[:len(snapshot)-3]) != nil)
	is.True(NewFold().Restore(3, nil) != nil)
	is.Equal(f.Offset(), uint64(4))
}

// referenceModel is a simple, independent implementation of the rules for accepting
// changes, for accounts "a" to "c" only. Fold is compared with it.
type referenceModel struct {
	weights     map[string]int
	lastChanged map[string]uint64
	results     map[string]Result
}

func (m *referenceModel) apply(offset uint64, c Change) {
	if _, ok := m.results[c.ID]; ok {
		return
	}
	accepted := true
	for _, p := range c.Puts {
		a := p.(ClientAccount)
		accepted = accepted && m.lastChanged[a.Name] <= c.BasedOn && a.Weight >= 0
	}
	for _, d := range c.Deletes {
		_, exists := m.weights[d.Name]
		accepted = accepted && m.lastChanged[d.Name] <= c.BasedOn && exists
	}
	m.results[c.ID] = Result{Offset: offset, Accepted: accepted}
	if !accepted {
		return
	}
	for _, p := range c.Puts {
		m.weights[p.Ref().Name], m.lastChanged[p.Ref().Name] = p.(ClientAccount).Weight, offset
	}
	for _, d := range c.Deletes {
		delete(m.weights, d.Name)
		m.lastChanged[d.Name] = offset
	}
}

// drawChange returns a random change based on one of the last offsets up to head.
func drawChange(t *rapid.T, id int, head uint64) Change {
	c := Change{ID: fmt.Sprint(id), BasedOn: uint64(rapid.IntRange(max(0, int(head)-4), int(head)).Draw(t, "based-on"))}
	for _, n := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(t, "objects") {
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			c.Deletes = append(c.Deletes, Ref{KindAccount, n})
		} else {
			c.Puts = append(c.Puts, ClientAccount{Name: n, Weight: rapid.IntRange(-1, 9).Draw(t, "weight")})
		}
	}
	return c
}

// Guards against losing or reverting an accepted change, and against VMs that get
// different states from the same records. It tries random interleavings of changes
// based on old offsets, late appends, retries and restarts from a snapshot.
func TestOperatorsRacing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := referenceModel{map[string]int{}, map[string]uint64{}, map[string]Result{}}
		uninterrupted, restored := NewFold(), NewFold()
		var pending, sent []Change
		offset := uint64(0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			pending = append(pending, drawChange(t, step, offset))
			if rapid.IntRange(0, 2).Draw(t, "wait") == 0 {
				continue // this change is appended later, perhaps out of order
			}
			i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
			c := pending[i]
			pending = slices.Delete(pending, i, i+1)
			if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "retry") == 0 {
				c = rapid.SampledFrom(sent).Draw(t, "again")
			}
			sent = append(sent, c)
			offset++
			want.apply(offset, c)
			uninterrupted.Apply(drlog.Record{Offset: offset, Data: c.Encode()})
			restored.Apply(drlog.Record{Offset: offset, Data: c.Encode()})
			if rapid.Bool().Draw(t, "restart") {
				snapshot := restored.Snapshot()
				restored = NewFold()
				if err := restored.Restore(offset, snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(uninterrupted.encodeSnapshot(), restored.encodeSnapshot()) {
				t.Fatalf("the state restored from snapshots differs at offset %d", offset)
			}
			got := map[string]int{}
			for _, a := range uninterrupted.Current().Accounts() {
				got[a.Name] = a.Weight
			}
			if fmt.Sprint(got) != fmt.Sprint(want.weights) {
				t.Fatalf("at offset %d the configuration is %v, want %v", offset, got, want.weights)
			}
			for id, w := range want.results {
				if r, _ := uninterrupted.Result(id); r.Offset != w.Offset || r.Accepted != w.Accepted {
					t.Fatalf("change %s has result %+v, want %+v", id, r, w)
				}
			}
		}
	})
}

// Guards against records that cause a panic, an invalid configuration, or a state whose
// snapshot cannot be restored.
func FuzzApply(f *testing.F) {
	f.Add(Change{ID: "a", BasedOn: 1, Puts: Objects{otherAccount(3)}, Deletes: []Ref{{KindKey, "k1"}}}.Encode())
	f.Add(Change{ID: "b", BasedOn: 1, Puts: baseObjects()}.Encode())
	f.Add([]byte("\x0a\x01a\x20\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newTestStream()
		s.append(data)
		restored := NewFold()
		if err := restored.Restore(2, s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(restored.Snapshot(), s.Snapshot()) {
			t.Error("the snapshot of the restored state differs")
		}
		if problems := s.Current().Problems(); problems != nil {
			t.Errorf("an invalid configuration was accepted: %v", problems)
		}
	})
}
