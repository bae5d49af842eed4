package drcollection_test

import (
	"fmt"

	"github.com/dotterelridge/dotterelridge/drcollection"
)

func ExampleSorted() {
	s := drcollection.NewSet("recife-b", "recife-a")
	s.Add("salvador")
	fmt.Println(drcollection.Sorted(s), s.Has("fortaleza"))
	// Output: [recife-a recife-b salvador] false
}
