# Written by "savorychute schema" from the registered peer messages.
@0xbf5147cbbecf40c1;

struct Envelope {
  sender @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :UInt64;
  kind @3 :UInt16;  # the tag of the message in the body
  body @4 :AnyPointer;
}
