package drplacement

// AdapterSpec is what placement needs to know about an adapter. Base names the
// model that the adapter extends, Bytes is the memory that one loaded copy
// takes.
type AdapterSpec struct {
	Name  string
	Base  string
	Bytes int64
}
