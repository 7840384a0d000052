#include "document/model/document_model.h"

#include <algorithm>

namespace magnoliareel {
namespace {

template <class List, class Name, class Member>
auto FindByName(const List& list, const Name& name, Member member)
    -> decltype(list.data()) {
  const auto it =
      std::find_if(list.begin(), list.end(),
                   [&](const auto& entry) { return entry.*member == name; });
  return it == list.end() ? nullptr : &*it;
}

}  // namespace

const ServiceConfig* Document::FindService(const ServiceId& service) const {
  return FindByName(services, service, &ServiceConfig::service);
}

const CallerConfig* Document::FindCaller(const CallerId& caller) const {
  return FindByName(callers, caller, &CallerConfig::caller);
}

const GroupConfig* Document::FindGroup(const GroupId& group) const {
  const ServiceConfig* service = FindServiceOfGroup(group);
  return service == nullptr
             ? nullptr
             : FindByName(service->groups, group, &GroupConfig::group);
}

const ServiceConfig* Document::FindServiceOfGroup(const GroupId& group) const {
  for (const ServiceConfig& service : services) {
    if (FindByName(service.groups, group, &GroupConfig::group) != nullptr) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace magnoliareel
