#pragma once

#include "configuration/access_control.h"
#include "configuration/freshness_service.h"
#include "net/http_router.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::configuration {

/// The operators' HTTP interface to the configuration. Requests may arrive on any thread; they are
/// processed on the control thread.
class operator_service
{
public:
  operator_service(boost::asio::io_context& aControl, configuration_store& aStore,
                   freshness_service& aFreshness, access_control const& aAccess);

  void Register(net::http_router& aRouter);

private:
  using answer = boost::asio::awaitable<base::reply<net::http_response>>;
  using operation = answer (operator_service::*)(net::routed_request);

  void Add(net::http_router& aRouter, std::string aMethod, std::string_view aPattern,
           operation aOperation);
  boost::asio::awaitable<net::http_response> Handle(operation aOperation,
                                                    net::routed_request aRequest);
  answer Configuration(net::routed_request aRequest);
  answer Change(net::routed_request aRequest);
  answer Contracts(net::routed_request aRequest);
  answer OneContract(net::routed_request aRequest);
  answer Domains(net::routed_request aRequest);
  answer ChangeDomain(net::routed_request aRequest);
  answer Apply(change_batch aBatch);

  boost::asio::io_context& mControl;
  configuration_store& mStore;
  freshness_service& mFreshness;
  access_control const& mAccess;
};

} // namespace rattanpond::configuration
