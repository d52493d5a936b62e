// Conversions between Beast's messages and this project's.
#ifndef CHIVEGLADE_SRC_NET_BEAST_FIELDS_H_
#define CHIVEGLADE_SRC_NET_BEAST_FIELDS_H_

#include <boost/beast/http/fields.hpp>

#include "chiveglade/net/h2_stream.h"

namespace chiveglade::net {

// The fields with names in lower case.
header_list FromFields(const boost::beast::http::fields& in);

// Adds the fields except those that frame the message or concern only the
// connection.
void AddFields(const header_list& in, boost::beast::http::fields& out);

// True if every name is a token and no value contains a control character, so
// that no field can end the header early.
bool AreFieldsValid(const header_list& in);

}  // namespace chiveglade::net

#endif  // CHIVEGLADE_SRC_NET_BEAST_FIELDS_H_
