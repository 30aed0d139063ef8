// Package deploy holds sample configurations of both deployments.
package deploy

import _ "embed"

// StaveDesk is the configuration of Hooghly Stave Exchange's stave-desk.
//
//go:embed stave-desk.json
var StaveDesk []byte

// Citas is the configuration of Asociación Peruana de Detección de Fugas' citas.
//
//go:embed citas.json
var Citas []byte
