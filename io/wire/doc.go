// Package wire holds the messages between entries, generated from wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
