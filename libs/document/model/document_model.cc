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

const ServiceShape* Document::FindService(const ServiceId& service) const {
  return FindByName(services, service, &ServiceShape::service);
}

const CallerShape* Document::FindCaller(const CallerId& caller) const {
  return FindByName(callers, caller, &CallerShape::caller);
}

const GroupShape* Document::FindGroup(const GroupId& group) const {
  const ServiceShape* service = FindServiceOfGroup(group);
  return service == nullptr
             ? nullptr
             : FindByName(service->groups, group, &GroupShape::group);
}

const ServiceShape* Document::FindServiceOfGroup(const GroupId& group) const {
  for (const ServiceShape& service : services) {
    if (FindByName(service.groups, group, &GroupShape::group) != nullptr) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace magnoliareel
