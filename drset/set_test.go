package drset_test

import (
	"fmt"

	"github.com/dotterelridge/dotterelridge/drset"
)

func ExampleSorted() {
	s := drset.Of("recife-b", "recife-a")
	s.Add("salvador")
	fmt.Println(drset.Sorted(s), s.Has("fortaleza"))
	// Output: [recife-a recife-b salvador] false
}
