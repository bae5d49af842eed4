package drcapacity

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"runtime"
	"runtime/pprof"

	"google.golang.org/protobuf/encoding/protowire"
)

// profileRate is in samples per second of processor time. The default of 100
// gives too few samples of an idle VM, which uses less than 1 % of a core.
const profileRate = 500

// Field numbers of the profile format of runtime/pprof.
const (
	fieldSample      = 2
	fieldStrings     = 6
	fieldSampleValue = 2
	fieldSampleLabel = 3
	fieldLabelKey    = 1
	fieldLabelValue  = 2
)

// unlabelled is the work of goroutines without a label, mostly the garbage
// collector and the scheduler.
const unlabelled = "runtime"

// cpuShares runs f and returns the shares of the processor time of this process
// by the label "role", or else "side".
func cpuShares(f func() error) (map[string]float64, error) {
	runtime.SetCPUProfileRate(profileRate)
	var buf bytes.Buffer
	// StartCPUProfile keeps the rate set above and prints a warning about it to
	// stderr.
	if err := pprof.StartCPUProfile(&buf); err != nil {
		return nil, err
	}
	err := f()
	pprof.StopCPUProfile()
	if err != nil {
		return nil, err
	}
	z, err := gzip.NewReader(&buf)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(z)
	if err != nil {
		return nil, err
	}
	return sharesByLabel(data)
}

// rawSample is a sample whose labels still refer to the string table.
type rawSample struct {
	count  uint64
	labels [][2]uint64
}

// sharesByLabel adds up the samples of an encoded profile by label and returns
// the part of each label in all samples.
func sharesByLabel(data []byte) (map[string]float64, error) {
	var samples []rawSample
	var stringTable []string
	err := forEachField(data, func(n protowire.Number, _ uint64, b []byte) error {
		switch n {
		case fieldStrings:
			stringTable = append(stringTable, string(b))
		case fieldSample:
			s, err := decodeSample(b)
			samples = append(samples, s)
			return err
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	total, shareByLabel := 0.0, make(map[string]float64)
	for _, s := range samples {
		shareByLabel[labelOf(s, stringTable)] += float64(s.count)
		total += float64(s.count)
	}
	for k := range shareByLabel {
		shareByLabel[k] /= total
	}
	return shareByLabel, nil
}

func labelOf(sample rawSample, stringTable []string) string {
	lookup := func(i uint64) string {
		if i < uint64(len(stringTable)) {
			return stringTable[i]
		}
		return ""
	}
	side := unlabelled
	for _, l := range sample.labels {
		switch lookup(l[0]) {
		case "role":
			return lookup(l[1])
		case sideLabel:
			side = lookup(l[1])
		}
	}
	return side
}

func decodeSample(data []byte) (s rawSample, err error) {
	values := 0
	err = forEachField(data, func(n protowire.Number, v uint64, b []byte) error {
		switch n {
		case fieldSampleValue: // number of samples, then nanoseconds; not packed
			if values == 0 {
				s.count = v
			}
			values++
		case fieldSampleLabel:
			var l [2]uint64
			err := forEachField(b, func(n protowire.Number, v uint64, _ []byte) error {
				switch n {
				case fieldLabelKey:
					l[0] = v
				case fieldLabelValue:
					l[1] = v
				}
				return nil
			})
			s.labels = append(s.labels, l)
			return err
		}
		return nil
	})
	return s, err
}

// forEachField calls f with each field of an encoded protobuf message: with the
// value in v for a varint field, and in b for a field of bytes.
func forEachField(data []byte, f func(n protowire.Number, v uint64, b []byte) error) error {
	for len(data) > 0 {
		n, t, size := protowire.ConsumeTag(data)
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		var v uint64
		var b []byte
		switch t {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			b, size = protowire.ConsumeBytes(data)
		default:
			return errors.New("CPU profile has a field of an unexpected wire type")
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		if err := f(n, v, b); err != nil {
			return err
		}
	}
	return nil
}
