"""Conversion of one record type to and from Cap'n Proto."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from savorychute.wire.field_shape import describe_fields
from savorychute.wire.schema_writer import to_camel_case

if TYPE_CHECKING:
    from savorychute.wire.field_shape import FieldShape


class _FieldCodec(NamedTuple):
    """A field's descriptor in the schema, and its codec if it is a struct."""

    shape: FieldShape
    wire_name: str
    descriptor: Any
    nested: StructCodec | None


class StructCodec:
    """Writes a NamedTuple to a builder and reads it from a reader.

    Records of scalars only, the common case inside lists, are handled by a short
    loop over field descriptors, because looking fields up by descriptor costs
    half as much as looking them up by name.

    :param record: the NamedTuple class.
    :param schema: the loaded schema module.
    """

    def __init__(self, record: Any, schema: Any) -> None:
        self._record = record
        self.struct = getattr(schema, record.__name__)
        shapes = describe_fields(record)
        self._fields = tuple(self._describe(shape, schema) for shape in shapes)
        self._descriptors = tuple(field.descriptor for field in self._fields)
        self._is_flat = not any(
            shape.is_struct or shape.is_list or shape.is_enum for shape in shapes
        )

    def _describe(self, shape: FieldShape, schema: Any) -> _FieldCodec:
        wire_name = to_camel_case(shape.name)
        nested = StructCodec(shape.element, schema) if shape.is_struct else None
        descriptor = self.struct.schema.fields[wire_name]
        return _FieldCodec(shape, wire_name, descriptor, nested)

    def fill(self, builder: Any, value: Any) -> None:
        """Copy *value* into *builder*.

        :param builder: an empty struct builder of this record's schema.
        :param value: an instance of the record.
        """
        if self._is_flat:
            set_field = builder._set_by_field
            for descriptor, item in zip(self._descriptors, value, strict=True):
                set_field(descriptor, item)
            return
        for field, item in zip(self._fields, value, strict=True):
            _fill_field(builder, field, item)

    def read(self, reader: Any) -> Any:
        """Return the record that *reader* contains.

        :param reader: a struct reader of this record's schema.
        """
        get_field = reader._get_by_field
        if self._is_flat:
            return self._record(*[get_field(item) for item in self._descriptors])
        return self._record(*[_read_field(get_field, item) for item in self._fields])


def _fill_field(builder: Any, field: _FieldCodec, item: Any) -> None:
    if field.nested is None:
        _fill_scalar(builder, field, item)
    elif field.shape.is_list:
        if item:
            built = builder.init(field.wire_name, len(item))
            for index, element in enumerate(item):
                field.nested.fill(built[index], element)
    else:
        field.nested.fill(builder.init(field.wire_name), item)


def _fill_scalar(builder: Any, field: _FieldCodec, item: Any) -> None:
    if field.shape.is_enum:
        item = [each.value for each in item] if field.shape.is_list else item.value
    if not field.shape.is_list:
        builder._set_by_field(field.descriptor, item)
    elif item:
        builder._set_by_field(field.descriptor, list(item))


def _read_field(get_field: Any, field: _FieldCodec) -> Any:
    value = get_field(field.descriptor)
    if field.nested is not None:
        if field.shape.is_list:
            return tuple([field.nested.read(item) for item in value])
        return field.nested.read(value)
    if field.shape.is_enum:
        convert = field.shape.element
        return tuple(map(convert, value)) if field.shape.is_list else convert(value)
    return tuple(value) if field.shape.is_list else value
