// Notices of prompts on their way through the relays: each counts once at every other VM,
// and takes no needless messages.
#include "policy/notice_route.hpp"
#include "policy/recent_sends.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace marigoldcrank
{
namespace
{

constexpr millis digest_age{450};

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{value};
}

notice_place place_of(relay_plan const& plan)
{
    if (!plan.relay)
    {
        return notice_place::member;
    }
    return plan.first_relay ? notice_place::first_relay : notice_place::relay;
}

struct simulated_vm
{
    vm_contact   contact;
    relay_plan   plan;
    recent_sends sends{};
    int          counted = 0; // notices that counted as new
    int          copies = 0;  // notices received
};

struct simulated_message
{
    std::size_t  sender = 0;
    digest_scope scope = digest_scope::vm;
    send_notice  notice;
};

/// VMs that publish each notice some time after they have heard it.
class simulated_fleet
{
public:
    simulated_fleet(int centres, int vms_each)
    {
        std::set<vm_contact> contacts;
        for (int index = 0; index < centres * vms_each; ++index)
        {
            contacts.insert({.digests = std::string{"vm-"}.append(std::to_string(index)),
                             .data_centre = std::string{"centre-"}.append(
                                 std::to_string(index % centres))});
        }
        for (auto const& contact : contacts)
        {
            vms.push_back({.contact = contact,
                           .plan = plan_relays(contacts, contact, {.mesh = 8})});
        }
    }

    void announce(std::size_t sender, send_notice const& notice)
    {
        for (auto const scope : own_notice_scopes(place_of(vms[sender].plan)))
        {
            publish(sender, scope, notice, 0);
        }
        while (!queue_.empty())
        {
            auto const [time, message] = *queue_.begin();
            queue_.erase(queue_.begin());
            deliver(message, sender, time);
        }
    }

    std::vector<simulated_vm> vms;
    std::set<std::string>     centre_publishers; // data centres of senders at that scope

private:
    void publish(std::size_t vm, digest_scope scope, send_notice const& notice,
                 std::int64_t now)
    {
        if (scope == digest_scope::centre)
        {
            centre_publishers.insert(vms[vm].contact.data_centre);
        }
        queue_.emplace(now + *rc::gen::inRange(1, 60),
                       simulated_message{vm, scope, notice});
    }

    void deliver(simulated_message const& message, std::size_t origin, std::int64_t now)
    {
        for (std::size_t index = 0; index < vms.size(); ++index)
        {
            auto&      vm = vms[index];
            bool const hears =
                vm.plan.digests.count(vms[message.sender].contact.digests) > 0 &&
                received_scopes(vm.plan).count(message.scope) > 0;
            if (!hears || index == origin) // a VM recognises its own notices
            {
                continue;
            }
            ++vm.copies;
            if (!vm.sends.receive(message.notice, digest_age, at_ms(now)))
            {
                continue;
            }
            ++vm.counted;
            for (auto const scope :
                 passed_notice_scopes(place_of(vm.plan), message.scope))
            {
                publish(index, scope, message.notice, now);
            }
        }
    }

    std::multimap<std::int64_t, simulated_message> queue_; // by time of arrival
};

// A notice that is missed or counts twice makes an engine look idle or full. Copies also
// arrive after the notice's life has ended.
RC_GTEST_PROP(notice_route, each_notice_counts_once_at_every_other_vm, ())
{
    simulated_fleet fleet(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
    auto const      sender = *rc::gen::inRange<std::size_t>(0, fleet.vms.size());
    fleet.announce(sender, {7, "e", 5000, millis{*rc::gen::inRange(30, 450)}});
    for (std::size_t index = 0; index < fleet.vms.size(); ++index)
    {
        RC_ASSERT(fleet.vms[index].counted == (index == sender ? 0 : 1));
    }
}

// A member on a tenth of a core must not read each notice twice. Relays get one copy from
// each relay of the sender's data centre.
RC_GTEST_PROP(notice_route, members_receive_one_copy_and_relays_two, ())
{
    simulated_fleet fleet(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
    auto const      sender = *rc::gen::inRange<std::size_t>(0, fleet.vms.size());
    fleet.announce(sender, {7, "e", 5000, millis{300}});
    for (auto const& vm : fleet.vms)
    {
        RC_ASSERT(vm.copies <= (vm.plan.relay ? 2 : 1));
    }
}

// A relay that took another relay's own notice for that of a member would publish it once
// more to all data centres.
RC_GTEST_PROP(notice_route, relays_tell_other_data_centres_only_of_their_own_one, ())
{
    simulated_fleet fleet(*rc::gen::inRange(1, 5), *rc::gen::inRange(1, 9));
    auto const      sender = *rc::gen::inRange<std::size_t>(0, fleet.vms.size());
    fleet.announce(sender, {7, "e", 5000, millis{300}});
    for (auto const& centre : fleet.centre_publishers)
    {
        RC_ASSERT(centre == fleet.vms[sender].contact.data_centre);
    }
}

} // namespace
} // namespace marigoldcrank
