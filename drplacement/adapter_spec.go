package drplacement

// AdapterSpec is an adapter as far as placement is concerned.
type AdapterSpec struct {
	Name  string
	Base  string
	Bytes int64
}
