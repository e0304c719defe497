"""One record type to and from Cap'n Proto."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from savorychute.wire.field_shape import describe_fields
from savorychute.wire.schema_writer import to_camel_case

if TYPE_CHECKING:
    from savorychute.wire.field_shape import FieldShape


class _FieldCodec(NamedTuple):
    """A field's descriptor in the schema and how to convert its value."""

    shape: FieldShape
    wire_name: str
    descriptor: Any
    inner: StructCodec | None


class StructCodec:
    """Copies a NamedTuple into a builder and out of a reader.

    Records of plain scalars take a short loop over field descriptors: that
    is the common case, inside lists, and looking fields up by descriptor
    costs half of what looking them up by name does.

    :param record: the NamedTuple class.
    :param schema: the loaded schema module.
    """

    def __init__(self, record: Any, schema: Any) -> None:
        self._record = record
        self.struct = getattr(schema, record.__name__)
        shapes = describe_fields(record)
        self._fields = tuple(self._describe(shape, schema) for shape in shapes)
        self._descriptors = tuple(field.descriptor for field in self._fields)
        self._flat = not any(
            shape.is_struct or shape.repeated or shape.is_enum for shape in shapes
        )

    def _describe(self, shape: FieldShape, schema: Any) -> _FieldCodec:
        wire_name = to_camel_case(shape.name)
        inner = StructCodec(shape.element, schema) if shape.is_struct else None
        descriptor = self.struct.schema.fields[wire_name]
        return _FieldCodec(shape, wire_name, descriptor, inner)

    def fill(self, builder: Any, value: Any) -> None:
        """Copy *value* into *builder*.

        :param builder: an empty struct builder of this record's schema.
        :param value: an instance of the record.
        """
        if self._flat:
            set_field = builder._set_by_field
            for descriptor, item in zip(self._descriptors, value, strict=True):
                set_field(descriptor, item)
            return
        for field, item in zip(self._fields, value, strict=True):
            _fill_field(builder, field, item)

    def read(self, reader: Any) -> Any:
        """Return the record that *reader* holds.

        :param reader: a struct reader of this record's schema.
        """
        get_field = reader._get_by_field
        if self._flat:
            return self._record(*[get_field(item) for item in self._descriptors])
        return self._record(*[_read_field(get_field, item) for item in self._fields])


def _fill_field(builder: Any, field: _FieldCodec, item: Any) -> None:
    if field.inner is None:
        _fill_scalar(builder, field, item)
    elif field.shape.repeated:
        if item:
            built = builder.init(field.wire_name, len(item))
            for index, element in enumerate(item):
                field.inner.fill(built[index], element)
    else:
        field.inner.fill(builder.init(field.wire_name), item)


def _fill_scalar(builder: Any, field: _FieldCodec, item: Any) -> None:
    if field.shape.is_enum:
        item = [each.value for each in item] if field.shape.repeated else item.value
    if not field.shape.repeated:
        builder._set_by_field(field.descriptor, item)
    elif item:
        builder._set_by_field(field.descriptor, list(item))


def _read_field(get_field: Any, field: _FieldCodec) -> Any:
    found = get_field(field.descriptor)
    if field.inner is not None:
        if field.shape.repeated:
            return tuple([field.inner.read(item) for item in found])
        return field.inner.read(found)
    if field.shape.is_enum:
        convert = field.shape.element
        return tuple(map(convert, found)) if field.shape.repeated else convert(found)
    return tuple(found) if field.shape.repeated else found
