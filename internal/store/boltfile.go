package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// ErrDamaged is wrapped by errors about files whose content is corrupt or incomplete.
var ErrDamaged = errors.New("damaged")

// ErrNewer is wrapped by errors about files that were written by a newer version.
var ErrNewer = errors.New("written by a newer version")

// The format of bbolt's file. It is little-endian, like all machines that the program is built for. bbolt reads the
// file through a memory map and checks only the two meta pages: a truncated file ends the process by SIGBUS, and a
// damaged page causes a panic or an endless loop. Therefore the file is checked before bbolt opens it.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2

	pageHeaderSize  = 16 // id 8, flags 2, count 2, overflow 4
	pageElementSize = 16
	metaSize        = 64
	metaChecksumAt  = 56
	bucketSize      = 16 // root 8, sequence 8
	noFreelist      = ^uint64(0)
	largeFreelist   = 0xFFFF // in the header's count: the real count is the first word of the body
	freeIDSize      = 8
	firstDataPage   = 2 // after both meta pages
	initialPages    = 4 // of a new file
	minPageSize     = 1 << 9
	maxPageSize     = 1 << 16

	branchPage   = 0x01
	leafPage     = 0x02
	metaPage     = 0x04
	freelistPage = 0x10
	bucketFlag   = 0x01 // of a leaf's element
)

// boltMeta is the content of a meta page. bbolt uses the valid meta page with the higher transaction.
type boltMeta struct {
	pageSize              uint64
	root, freelist, pages uint64
	transaction           uint64
}

// parseBoltMeta reads a meta page. The error is ErrDamaged or ErrNewer.
func parseBoltMeta(page []byte) (boltMeta, error) {
	if len(page) < pageHeaderSize+metaSize {
		return boltMeta{}, fmt.Errorf("a meta page is truncated: %w", ErrDamaged)
	}
	meta := page[pageHeaderSize:]
	if binary.LittleEndian.Uint32(meta) != boltMagic {
		return boltMeta{}, fmt.Errorf("a meta page has the wrong magic number: %w", ErrDamaged)
	}
	if version := binary.LittleEndian.Uint32(meta[4:]); version > boltVersion {
		return boltMeta{}, fmt.Errorf("the file has version %d, %d is the newest known: %w",
			version, boltVersion, ErrNewer)
	} else if version < boltVersion {
		return boltMeta{}, fmt.Errorf("the file has version %d: %w", version, ErrDamaged)
	}
	sum := fnv.New64a()
	sum.Write(meta[:metaChecksumAt])
	if binary.LittleEndian.Uint64(meta[metaChecksumAt:]) != sum.Sum64() {
		return boltMeta{}, fmt.Errorf("a meta page has the wrong checksum: %w", ErrDamaged)
	}
	return boltMeta{
		pageSize:    uint64(binary.LittleEndian.Uint32(meta[8:])),
		root:        binary.LittleEndian.Uint64(meta[16:]),
		freelist:    binary.LittleEndian.Uint64(meta[32:]),
		pages:       binary.LittleEndian.Uint64(meta[40:]),
		transaction: binary.LittleEndian.Uint64(meta[48:]),
	}, nil
}

// boltFile is a file that is being checked.
type boltFile struct {
	reader io.ReaderAt
	size   uint64
	meta   boltMeta
	seen   map[uint64]bool // pages that were found in use or free
}

// checkBoltFile checks that bbolt can read a whole file. The size is in bytes. The error wraps ErrDamaged, ErrNewer or
// the error of a failed read.
func checkBoltFile(reader io.ReaderAt, size int64) error {
	f := &boltFile{reader: reader, size: uint64(size), seen: map[uint64]bool{}}
	if err := f.readMeta(); err != nil {
		return err
	}
	if f.meta.pages > f.size/f.meta.pageSize {
		return fmt.Errorf("the file has %d bytes, too few for %d pages of %d bytes: %w",
			f.size, f.meta.pages, f.meta.pageSize, ErrDamaged)
	}
	if err := f.checkTree(f.meta.root); err != nil {
		return err
	}
	return f.checkFreelist()
}

// readMeta reads both meta pages and chooses the one that bbolt uses.
func (f *boltFile) readMeta() error {
	first := make([]byte, pageHeaderSize+metaSize)
	if err := f.read(first, 0); err != nil {
		return err
	}
	meta, err := parseBoltMeta(first)
	pageSize := meta.pageSize
	if err != nil {
		pageSize = uint64(os.Getpagesize())
	}
	if pageSize < minPageSize || pageSize > maxPageSize {
		return fmt.Errorf("pages of %d bytes: %w", pageSize, ErrDamaged)
	}
	second := make([]byte, pageHeaderSize+metaSize)
	if err := f.read(second, pageSize); err != nil {
		return err
	}
	other, otherErr := parseBoltMeta(second)
	switch {
	case err != nil && otherErr != nil:
		return errors.Join(err, otherErr)
	case errors.Is(err, ErrNewer) || errors.Is(otherErr, ErrNewer):
		return errors.Join(err, otherErr)
	case err != nil || otherErr == nil && other.transaction > meta.transaction:
		meta = other
	}
	if meta.pageSize != pageSize {
		return fmt.Errorf("pages of %d bytes expected, the meta page states %d: %w",
			pageSize, meta.pageSize, ErrDamaged)
	}
	f.meta = meta
	return nil
}

// read fills a buffer from an offset of the file.
func (f *boltFile) read(into []byte, at uint64) error {
	if at > f.size || uint64(len(into)) > f.size-at {
		return fmt.Errorf("the file is truncated to %d bytes: %w", f.size, ErrDamaged)
	}
	if _, err := f.reader.ReadAt(into, int64(at)); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// page is a page with its overflow pages.
type page struct {
	id    uint64
	flags uint16
	count uint64
	body  []byte // includes the header
}

// parsePage parses the header of a complete page.
func parsePage(id uint64, body []byte) page {
	return page{
		id: id, flags: binary.LittleEndian.Uint16(body[8:]), count: uint64(binary.LittleEndian.Uint16(body[10:])),
		body: body,
	}
}

// readPage reads a page and marks it as in use. It is an error if the page is in use already.
func (f *boltFile) readPage(id uint64) (p page, err error) {
	header := make([]byte, pageHeaderSize)
	if id < firstDataPage || id >= f.meta.pages {
		return p, fmt.Errorf("page %d of %d is not a data page: %w", id, f.meta.pages, ErrDamaged)
	}
	if err := f.read(header, id*f.meta.pageSize); err != nil {
		return p, err
	}
	overflow := uint64(binary.LittleEndian.Uint32(header[12:]))
	if binary.LittleEndian.Uint64(header) != id || overflow >= f.meta.pages-id {
		return p, fmt.Errorf("page %d has the header of another page: %w", id, ErrDamaged)
	}
	for other := id; other <= id+overflow; other++ {
		if f.seen[other] {
			return p, fmt.Errorf("page %d is used twice: %w", other, ErrDamaged)
		}
		f.seen[other] = true
	}
	body := make([]byte, (overflow+1)*f.meta.pageSize)
	if err := f.read(body, id*f.meta.pageSize); err != nil {
		return p, err
	}
	return parsePage(id, body), nil
}

// checkTree checks the pages of a bucket and of the buckets in it.
func (f *boltFile) checkTree(root uint64) error {
	for pending := []uint64{root}; len(pending) > 0; {
		p, err := f.readPage(pending[len(pending)-1])
		if err != nil {
			return err
		}
		children, err := p.children()
		if err != nil {
			return err
		}
		pending = append(pending[:len(pending)-1], children...)
	}
	return nil
}

// children returns the identifiers of the pages that a page of a tree refers to.
func (p page) children() (ids []uint64, err error) {
	switch p.flags {
	case branchPage:
		if p.count == 0 {
			return nil, p.damaged("a branch page without children")
		}
	case leafPage:
	default:
		return nil, p.damaged(fmt.Sprintf("unexpected flags %#x", p.flags))
	}
	if pageHeaderSize+p.count*pageElementSize > uint64(len(p.body)) {
		return nil, p.damaged(fmt.Sprintf("%d elements do not fit", p.count))
	}
	var previous []byte
	for i := range p.count {
		offset := pageHeaderSize + i*pageElementSize
		key, children, err := p.element(offset)
		if err != nil {
			return nil, err
		}
		if i > 0 && bytes.Compare(previous, key) >= 0 {
			return nil, p.damaged("the keys are not sorted")
		}
		previous, ids = key, append(ids, children...)
	}
	return ids, nil
}

// element parses the element at an offset of a page: its key, and the pages that it refers to.
func (p page) element(at uint64) (key []byte, ids []uint64, err error) {
	e := p.body[at : at+pageElementSize]
	first, second := uint64(binary.LittleEndian.Uint32(e)), uint64(binary.LittleEndian.Uint32(e[4:]))
	if p.flags == branchPage { // the fields are position, key size, page
		key, err := p.slice(at+first, second)
		return key, []uint64{binary.LittleEndian.Uint64(e[8:])}, err
	}
	keySize, valueSize := uint64(binary.LittleEndian.Uint32(e[8:])), uint64(binary.LittleEndian.Uint32(e[12:]))
	key, err = p.slice(at+second, keySize) // the fields are flags, position, key size, value size
	if err != nil {
		return nil, nil, err
	}
	value, err := p.slice(at+second+keySize, valueSize)
	if err != nil || first&bucketFlag == 0 {
		return key, nil, err
	}
	if len(value) < bucketSize {
		return nil, nil, p.damaged("a bucket is truncated")
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return key, []uint64{root}, nil
	}
	ids, err = p.inlineBucket(value[bucketSize:])
	return key, ids, err
}

// inlineBucket checks a bucket whose only page is stored in an element's value.
func (p page) inlineBucket(body []byte) ([]uint64, error) {
	if len(body) < pageHeaderSize {
		return nil, p.damaged("an inline bucket is truncated")
	}
	inner := parsePage(p.id, body)
	if inner.flags != leafPage {
		return nil, p.damaged("an inline bucket is not a leaf page")
	}
	return inner.children()
}

// slice returns the bytes of a page from an offset. They must lie within the page.
func (p page) slice(at, size uint64) ([]byte, error) {
	if at > uint64(len(p.body)) || size > uint64(len(p.body))-at {
		return nil, p.damaged("an element reaches beyond the page")
	}
	return p.body[at : at+size], nil
}

// damaged returns an error about a page that wraps ErrDamaged.
func (p page) damaged(reason string) error {
	return fmt.Errorf("page %d: %s: %w", p.id, reason, ErrDamaged)
}

// checkFreelist checks that no page in the freelist is in use or listed twice.
func (f *boltFile) checkFreelist() error {
	if f.meta.freelist == noFreelist {
		return nil
	}
	list, err := f.readPage(f.meta.freelist)
	if err != nil {
		return err
	}
	if list.flags != freelistPage {
		return list.damaged("not a freelist page")
	}
	ids, count := list.body[pageHeaderSize:], list.count
	if count == largeFreelist {
		if len(ids) < freeIDSize {
			return list.damaged("the freelist has no length")
		}
		ids, count = ids[freeIDSize:], binary.LittleEndian.Uint64(ids)
	}
	if count > uint64(len(ids)/freeIDSize) {
		return list.damaged(fmt.Sprintf("a freelist of %d pages does not fit", count))
	}
	for i := range count {
		id := binary.LittleEndian.Uint64(ids[i*freeIDSize:])
		if id < firstDataPage || id >= f.meta.pages || f.seen[id] {
			return list.damaged(fmt.Sprintf("page %d in the freelist is in use, listed twice or not a data page", id))
		}
		f.seen[id] = true
	}
	return nil
}

// newBoltFile returns the content of a new, empty file as bbolt creates it.
func newBoltFile(pageSize int) []byte {
	file := make([]byte, initialPages*pageSize)
	for id := range initialPages {
		page := file[id*pageSize:]
		binary.LittleEndian.PutUint64(page, uint64(id))
		flags := []uint16{metaPage, metaPage, freelistPage, leafPage}[id]
		binary.LittleEndian.PutUint16(page[8:], flags)
		if flags != metaPage {
			continue
		}
		m := page[pageHeaderSize : pageHeaderSize+metaSize]
		binary.LittleEndian.PutUint32(m, boltMagic)
		binary.LittleEndian.PutUint32(m[4:], boltVersion)
		binary.LittleEndian.PutUint32(m[8:], uint32(pageSize))
		binary.LittleEndian.PutUint64(m[16:], firstDataPage+1) // the root's page
		binary.LittleEndian.PutUint64(m[32:], firstDataPage)   // the freelist
		binary.LittleEndian.PutUint64(m[40:], initialPages)
		binary.LittleEndian.PutUint64(m[48:], uint64(id)) // transaction
		sum := fnv.New64a()
		sum.Write(m[:metaChecksumAt])
		binary.LittleEndian.PutUint64(m[metaChecksumAt:], sum.Sum64())
	}
	return file
}

// isPartlyCreated reports whether bbolt's creation of a file was interrupted, such as by a kill or a full disk: the
// file is shorter than a new one and has the same content up to its end.
func isPartlyCreated(reader io.ReaderAt, size int64) (bool, error) {
	complete := newBoltFile(os.Getpagesize())
	if size >= int64(len(complete)) {
		return false, nil
	}
	file := make([]byte, size)
	if _, err := reader.ReadAt(file, 0); err != nil && size > 0 {
		return false, fmt.Errorf("read: %w", err)
	}
	return bytes.HasPrefix(complete, file), nil
}
