// Package drpb holds the protobuf messages that entry VMs exchange and the
// records that they keep in the log. The *.pb.go files are generated.
package drpb

//go:generate buf generate
