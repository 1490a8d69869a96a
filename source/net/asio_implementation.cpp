// Compiles the non-template code of Asio, Beast and Boost.JSON once for the whole library.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
