package grpcproxy

import (
	"encoding/base64"
	"strings"

	"google.golang.org/grpc/metadata"

	"pumicecroft/internal/grpctransport"
)

// hopByHop reports whether metadata is meant for the next neighbour alone, and so not forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "content-type", "user-agent", "te", "host", "connection", "proxy-connection", "keep-alive",
		"transfer-encoding", "upgrade", "trailer":
		return true
	case "grpc-trace-bin", "grpc-tags-bin", "grpc-status-details-bin":
		return false
	}
	return strings.HasPrefix(name, ":") || strings.HasPrefix(name, "grpc-")
}

// binarySuffix ends the names of metadata with binary values, which are sent in base64.
const binarySuffix = "-bin"

// toMetadata converts a backend's fields to metadata, without hop-by-hop ones.
func toMetadata(fields []grpctransport.Field) metadata.MD {
	md := metadata.MD{}
	for _, f := range fields {
		if isHopByHop(f.Name) {
			continue
		}
		if !strings.HasSuffix(f.Name, binarySuffix) {
			md.Append(f.Name, f.Value)
			continue
		}
		for value := range strings.SplitSeq(f.Value, ",") { // several values may come in one field
			if data, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(value, "=")); err == nil {
				md.Append(f.Name, string(data))
			}
		}
	}
	return md
}

// toFields converts a call's metadata to the fields for backends, without hop-by-hop ones.
func toFields(md metadata.MD) []grpctransport.Field {
	fields := make([]grpctransport.Field, 0, len(md)+1)
	for name, values := range md {
		if isHopByHop(name) {
			continue
		}
		for _, value := range values {
			if strings.HasSuffix(name, binarySuffix) {
				value = base64.RawStdEncoding.EncodeToString([]byte(value))
			}
			fields = append(fields, grpctransport.Field{Name: name, Value: value})
		}
	}
	return fields
}
