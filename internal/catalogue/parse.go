package catalogue

import (
	"bytes"
	"encoding/json"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// MaxEntrySize bounds an entry's text in bytes; the store accepts values of up to a megabyte.
const MaxEntrySize = 1 << 20

// Parse decodes and validates one entry. Text that begins with a brace is
// JSON, other text is TOML. Unknown fields are errors.
func Parse(b []byte) (*Service, error) {
	if len(b) > MaxEntrySize {
		return nil, errors.Errorf("catalogue: entry of %d bytes exceeds %d", len(b), MaxEntrySize)
	}
	var s Service
	if err := decode(b, &s); err != nil {
		return nil, errors.Wrap(err, "catalogue: decode entry")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &s, nil
}

func decode(b []byte, s *Service) error {
	if bytes.HasPrefix(bytes.TrimSpace(b), []byte("{")) {
		d := json.NewDecoder(bytes.NewReader(b))
		d.DisallowUnknownFields()
		if err := d.Decode(s); err != nil {
			return err
		}
		if d.More() {
			return errors.New("text after the entry")
		}
		return nil
	}
	md, err := toml.Decode(string(b), s)
	if err != nil {
		return err
	}
	if u := md.Undecoded(); len(u) > 0 {
		return errors.Errorf("unknown field %q", u[0].String())
	}
	return nil
}

// Encode returns the canonical TOML text of s.
func Encode(s *Service) ([]byte, error) {
	var b bytes.Buffer
	if err := toml.NewEncoder(&b).Encode(s); err != nil {
		return nil, errors.Wrap(err, "catalogue: encode entry")
	}
	return b.Bytes(), nil
}
