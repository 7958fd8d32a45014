// Package config reads YAML files into typed structs. It reports all unknown fields, wrong types
// and failed validations of a file at once, each with its line and column.
package config

import (
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"quinceridge.example/quinceridge/internal/finding"
)

// MaxFileBytes is the maximum size of a configuration file.
const MaxFileBytes = 8 << 20

// Checker is implemented by configurations with checks across fields.
type Checker interface {
	Check() []Problem
}

// Problem is a failed check of a field.
type Problem struct {
	// Path is the YAML path of the field, such as $.tenants[2].name.
	Path string
	// Message describes the problem.
	Message string
}

var validate = newValidator()

// mapKeys matches the map keys in a path of the validator, such as models[small], but not list
// indexes.
var mapKeys = regexp.MustCompile(`\[([^\]0-9][^\]]*)\]`)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// Load reads the file at path into target, a pointer to a struct, and validates it. Invalid
// content results in a finding.List.
func Load(path string, target any) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	if info.Size() > MaxFileBytes {
		return finding.List{{File: path, Message: "the file is larger than 8 MiB"}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	return Decode(path, data, target)
}

// Decode decodes data into target, a pointer to a struct, and validates it. The file name is
// used only in findings. Invalid content results in a finding.List.
func Decode(file string, data []byte, target any) error {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return finding.List{fromYAML(file, err)}
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		return finding.List{{File: file, Line: 1, Column: 1, Message: "expected one YAML document with a mapping"}}
	}
	body := tree.Docs[0].Body
	positions := map[string]position{}
	var findings finding.List
	indexPositions(body, "$", positions)
	reportUnknown(file, body, reflect.TypeOf(target).Elem(), "$", &findings)
	if err := yaml.NodeToValue(body, target); err != nil {
		findings = append(findings, fromYAML(file, err))
		return findings.Err()
	}
	for _, p := range validateTarget(target) {
		findings = append(findings, locate(file, p, positions))
	}
	return findings.Err()
}

func validateTarget(target any) []Problem {
	var out []Problem
	var failures validator.ValidationErrors
	if errors.As(validate.Struct(target), &failures) {
		for _, f := range failures {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			out = append(out, Problem{Path: "$." + mapKeys.ReplaceAllString(path, ".$1"), Message: ruleMessage(f)})
		}
	}
	if c, ok := target.(Checker); ok {
		out = append(out, c.Check()...)
	}
	return out
}

func ruleMessage(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return "must be one of: " + f.Param()
	case "min", "gte":
		return "must be at least " + f.Param()
	case "max", "lte":
		return "must be at most " + f.Param()
	case "gt":
		return "must be more than " + f.Param()
	case "hostname_port", "tcp_addr", "ip":
		return "must be an IP address with a port, such as 127.0.0.1:8080"
	case "unique":
		return "must not repeat " + f.Param()
	}
	return "fails the validation rule " + f.Tag() + " " + f.Param()
}

type position struct{ line, column int }

// locate returns a problem with the position of its field, or of the nearest parent that the
// file contains.
func locate(file string, p Problem, positions map[string]position) finding.Finding {
	path := p.Path
	for {
		if at, ok := positions[path]; ok {
			return finding.Finding{File: file, Line: at.line, Column: at.column, Field: p.Path, Message: p.Message}
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut <= 0 {
			return finding.Finding{File: file, Line: 1, Column: 1, Field: p.Path, Message: p.Message}
		}
		path = path[:cut]
	}
}

func fromYAML(file string, err error) finding.Finding {
	out := finding.Finding{File: file, Line: 1, Column: 1, Message: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		out.Message = located.GetMessage()
		if t := located.GetToken(); t != nil && t.Position != nil {
			out.Line, out.Column = t.Position.Line, t.Position.Column
		}
	}
	return out
}

func indexPositions(node ast.Node, path string, positions map[string]position) {
	if t := node.GetToken(); t != nil && t.Position != nil {
		if _, ok := positions[path]; !ok {
			positions[path] = position{line: t.Position.Line, column: t.Position.Column}
		}
	}
	for _, child := range children(node, path) {
		if t := child.key; t != nil {
			positions[child.path] = position{line: t.GetToken().Position.Line, column: t.GetToken().Position.Column}
		}
		indexPositions(child.node, child.path, positions)
	}
}

type child struct {
	name string
	path string
	key  ast.Node
	node ast.Node
}

func children(node ast.Node, path string) []child {
	var out []child
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			out = append(out, mappingChild(v, path))
		}
	case *ast.MappingValueNode:
		out = append(out, mappingChild(n, path))
	case *ast.SequenceNode:
		for i, v := range n.Values {
			out = append(out, child{path: path + "[" + strconv.Itoa(i) + "]", node: v})
		}
	}
	return out
}

func mappingChild(v *ast.MappingValueNode, path string) child {
	name := v.Key.GetToken().Value
	return child{name: name, path: path + "." + name, key: v.Key, node: v.Value}
}

var durationType = reflect.TypeOf(time.Duration(0))

// reportUnknown adds a finding for each mapping key that the type has no field for.
func reportUnknown(file string, node ast.Node, t reflect.Type, path string, findings *finding.List) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Slice:
		for _, c := range children(node, path) {
			reportUnknown(file, c.node, t.Elem(), c.path, findings)
		}
	case reflect.Map:
		for _, c := range children(node, path) {
			reportUnknown(file, c.node, t.Elem(), c.path, findings)
		}
	case reflect.Struct:
		if t == durationType || t == reflect.TypeOf(time.Time{}) {
			return
		}
		if list, is := node.(*ast.SequenceNode); is {
			at := list.GetToken().Position
			*findings = append(*findings, finding.Finding{File: file, Line: at.Line, Column: at.Column, Field: path, Message: "expected a mapping, not a list"})
			return
		}
		fields := fieldsOf(t)
		for _, c := range children(node, path) {
			field, ok := fields[c.name]
			if !ok {
				at := c.key.GetToken().Position
				*findings = append(*findings, finding.Finding{File: file, Line: at.Line, Column: at.Column, Field: c.path,
					Message: "unknown field; known here: " + strings.Join(namesOf(t), ", ")})
				continue
			}
			reportUnknown(file, c.node, field, c.path, findings)
		}
	}
}

func fieldsOf(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" && name != "-" {
			out[name] = t.Field(i).Type
		}
	}
	return out
}

func namesOf(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" && name != "-" {
			out = append(out, name)
		}
	}
	return out
}
