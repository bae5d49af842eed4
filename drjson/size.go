package drjson

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes, which JSON holds as a string such as "32MiB" or as
// a plain number. Decoding and ParseSize reject negative sizes.
type Size int64

// sizeUnits lists the units of sizes. The binary units come first, the largest
// at the front, because String uses the first one that divides a size. "B" is
// the last, because ParseSize compares suffixes and all other units end in "B".
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1},
}

// ParseSize parses a number with a unit, such as "1.5 GiB": B, KB, MB, GB, TB
// (powers of 1000) or KiB, MiB, GiB, TiB (powers of 1024). It rounds down to
// whole bytes.
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || math.IsNaN(f) {
			break
		}
		if f < 0 {
			return 0, fmt.Errorf("size %q is negative", text)
		}
		if f*float64(unit.bytes) >= math.MaxInt64 {
			return 0, fmt.Errorf("size %q is too large", text)
		}
		return Size(f * float64(unit.bytes)), nil
	}
	return 0, fmt.Errorf("want a size with a unit such as \"32MiB\", got %q", text)
}

// String returns the size in the largest binary unit that divides it, or in
// bytes ("1000B") if none does.
func (s Size) String() string {
	for _, u := range sizeUnits[:4] {
		if s != 0 && int64(s)%u.bytes == 0 {
			return strconv.FormatInt(int64(s)/u.bytes, 10) + u.name
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalJSON implements json.Marshaler. It writes the string of String.
func (s Size) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// UnmarshalJSON implements json.Unmarshaler. It accepts a whole number of bytes
// or a string for ParseSize.
func (s *Size) UnmarshalJSON(data []byte) error {
	var n int64
	if json.Unmarshal(data, &n) == nil {
		if n < 0 {
			return fmt.Errorf("size %d is negative", n)
		}
		*s = Size(n)
		return nil
	}
	var text string
	if json.Unmarshal(data, &text) != nil {
		return fmt.Errorf("want a size with a unit such as \"32MiB\", got %s", data)
	}
	v, err := ParseSize(text)
	if err != nil {
		return err
	}
	*s = v
	return nil
}
