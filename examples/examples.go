// Package examples holds the settings and declarations of the two demonstration
// deployments, fjordsnor and retoque.
package examples

import "embed"

// Files holds the files of declarations, at the path NAME/declarations of each
// deployment.
//
//go:embed */declarations/*.jsonc
var Files embed.FS
