package store

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rosedale.dev/rosedale/internal/catalogue"
)

// Shards is the number of prefixes over which services are spread. A watch on
// a prefix returns everything below it, so that after a change a reader gets
// the entries of one shard and not the whole catalogue.
const Shards = 16

// ServicePrefix returns the prefix of all catalogue keys below root.
func ServicePrefix(root string) string { return strings.Trim(root, "/") + "/services/" }

// ShardPrefix returns the prefix of one shard.
func ShardPrefix(root string, shard int) string {
	return fmt.Sprintf("%s%x/", ServicePrefix(root), shard)
}

// ShardOf returns the shard of the service with this name.
func ShardOf(name string) int { return int(xxhash.Sum64String(name) % Shards) }

// ServiceKey returns the key of a service.
func ServiceKey(root, name string) string { return ShardPrefix(root, ShardOf(name)) + name }

// VMPrefix returns the prefix below which the platform lists its VMs.
func VMPrefix(root string) string { return strings.Trim(root, "/") + "/vms/" }

// Versions converts a listing of services to catalogue versions. It skips keys that
// differ from the service's ServiceKey, and empty values.
func Versions(l Listing, root string) []catalogue.Version {
	out := make([]catalogue.Version, 0, len(l.Pairs))
	for _, p := range l.Pairs {
		name := p.Key[strings.LastIndexByte(p.Key, '/')+1:]
		if name == "" || p.Key != ServiceKey(root, name) || len(p.Value) == 0 {
			continue
		}
		out = append(out, catalogue.Version{Name: name, Index: p.Index, Text: p.Value, Created: p.Created})
	}
	return out
}
