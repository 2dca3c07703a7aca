// Compiles the non-template parts of Asio and Beast once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
