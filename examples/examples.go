// Package examples holds the configurations of the two demonstrations.
package examples

import "embed"

// Files holds the declarations of each deployment under its name.
//
//go:embed */declarations/*.jsonc
var Files embed.FS
