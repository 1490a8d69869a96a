#pragma once

#include "base/enum_names.h"

#include <cstdint>

namespace rattanpond::net {

/// Message types of the frame protocol. A number is never reused for another meaning.
enum class message_type : std::uint16_t
{
  hello = 1,

  announce = 10,
  target_heartbeat = 11,
  confirm = 12,
  config_push = 13,
  config_held = 14,

  reserve = 20,
  reserve_reply = 21,
  commit = 22,
  release = 23,
  preempt = 24,
  stop_task = 25,
  task_report = 26,
  term_notice = 27,

  gang_heartbeat = 30,
  gang_grant = 31,
  gang_break = 32,

  dispatch = 40,
  answer = 41,
  cancel = 42,
  resolve = 43,
  resolve_reply = 44,
  load_report = 45,

  job_submit = 50,
  job_cancel = 51,
  job_reply = 52,

  side_report = 60,
  side_orders = 61,
};

} // namespace rattanpond::net

template<>
struct rattanpond::base::enum_names<rattanpond::net::message_type>
{
  using type = rattanpond::net::message_type;
  static constexpr enum_name<type> kTable[] = {
    { type::hello, "hello" },
    { type::announce, "announce" },
    { type::target_heartbeat, "beat" },
    { type::confirm, "confirm" },
    { type::config_push, "config_push" },
    { type::config_held, "config_held" },
    { type::reserve, "reserve" },
    { type::reserve_reply, "reserve_reply" },
    { type::commit, "commit" },
    { type::release, "release" },
    { type::preempt, "preempt" },
    { type::stop_task, "stop_task" },
    { type::task_report, "task_report" },
    { type::term_notice, "term_notice" },
    { type::gang_heartbeat, "gang_beat" },
    { type::gang_grant, "gang_grant" },
    { type::gang_break, "gang_break" },
    { type::dispatch, "dispatch" },
    { type::answer, "answer" },
    { type::cancel, "cancel" },
    { type::resolve, "settle" },
    { type::resolve_reply, "settle_reply" },
    { type::load_report, "load_report" },
    { type::job_submit, "job_submit" },
    { type::job_cancel, "job_cancel" },
    { type::job_reply, "job_reply" },
    { type::side_report, "side_report" },
    { type::side_orders, "side_orders" },
  };
};
