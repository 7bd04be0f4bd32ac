package grpcproxy

import (
	"encoding/base64"
	"strings"

	"google.golang.org/grpc/metadata"

	"pumicecroft/internal/grpctransport"
)

// isHopByHop reports whether metadata applies to a single hop only, and so must not be forwarded.
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

// binarySuffix ends the names of metadata with binary values, which are base64-encoded on the wire.
const binarySuffix = "-bin"

// toMetadata converts fields from a backend to metadata for the client, without hop-by-hop fields.
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
		for value := range strings.SplitSeq(f.Value, ",") { // a field may hold several values
			if data, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(value, "=")); err == nil {
				md.Append(f.Name, string(data))
			}
		}
	}
	return md
}

// toFields converts metadata from the client to fields for the backend, without hop-by-hop metadata.
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
